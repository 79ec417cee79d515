package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.BalancedChooser;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.Holdings;
import org.cornelway.dispatch.LimitBackoff;
import org.cornelway.dispatch.LimitNotice;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.dispatch.ServerNotices;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.quota.QuotaBounds;
import org.cornelway.quota.QuotaReply;
import org.cornelway.quota.QuotaReport;
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.time.SuspendAwareClock;

/**
 * The traffic thread and the components that are confined to it.
 *
 * <p>Thread-safe: methods that use these components hand their work to the traffic thread, which
 * runs from the construction of this object until {@link #shutdown}.
 */
public final class TrafficPlane {
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final MultiThreadIoEventLoopGroup mGroup = newSingleThreadGroup("traffic");

    /**
     * Event loop of the requests to the platform, which would otherwise wait while the traffic
     * thread is late.
     */
    private final MultiThreadIoEventLoopGroup mPlatformGroup = newSingleThreadGroup("platform");

    private final EventLoop mLoop;
    private final UpstreamPool mPool;

    /** Connections for the platform client; confined to its event loop. */
    private final UpstreamPool mPlatformPool;

    private final Holdings mHoldings = new Holdings();
    private final ModelUsage mUsage;
    private final CrashEvidence mEvidence = new CrashEvidence();
    private final ServerLoads mLoads;
    private final ServerNotices mNotices = new ServerNotices();
    private final ServerLimits mLimits = new ServerLimits();
    private final OverloadControl mOverload;
    private final TrafficContext mContext;
    private final FrontServer mFrontServer;
    private final PlatformHttpClient mPlatformClient;
    private final HttpEndpoint mStoreEndpoint;
    private volatile TrafficView mView = TrafficView.empty();

    /**
     * @param zone availability zone of this process
     * @param frontEndpoint address that callers connect to
     * @param storeEndpoint address of the key-value service; idle connections to it are kept
     * @param retryBudget limits how often calls are resent
     * @param modelRequester requests models from the controller
     */
    public TrafficPlane(
            CallCodec codec,
            Clock clock,
            String zone,
            HttpEndpoint frontEndpoint,
            HttpEndpoint storeEndpoint,
            SlidingWindowRetryBudget retryBudget,
            ModelRequester modelRequester,
            EventLog log,
            MetricRegistry metrics) {
        mLoop = (EventLoop) mGroup.next();
        mPool = new UpstreamPool(mLoop, codec, clock, log);
        mLoads = new ServerLoads(clock, zone, new SlowServerLog(log));
        mStoreEndpoint = storeEndpoint;
        mUsage = new ModelUsage(clock);
        mOverload = new OverloadControl(mLoop, clock, metrics);
        mContext =
                new TrafficContext(
                        mLoop,
                        codec,
                        mPool,
                        () -> mView,
                        new BalancedChooser(),
                        mLoads,
                        mNotices,
                        mLimits,
                        new LimitBackoff(),
                        mHoldings,
                        retryBudget,
                        modelRequester,
                        mUsage,
                        mEvidence,
                        mOverload,
                        new QuotaGate(mLoop, () -> mView, clock, log, metrics),
                        clock,
                        new LoopDelay(
                                SuspendAwareClock.system(), FrontServer.SWEEP_INTERVAL_MILLIS),
                        new DrainState(clock),
                        log,
                        metrics);
        mFrontServer = new FrontServer(frontEndpoint, mContext);
        EventLoop platformLoop = (EventLoop) mPlatformGroup.next();
        mPlatformPool = new UpstreamPool(platformLoop, codec, clock, log);
        mPlatformClient = new PlatformHttpClient(platformLoop, mPlatformPool, codec);
        registerGauges(metrics);
        scheduleSweep();
    }

    private void scheduleSweep() {
        mLoop.scheduleAtFixedRate(
                new GuardedTask("sweep of servers", mContext.metrics(), this::sweep),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void registerGauges(MetricRegistry metrics) {
        metrics.registerGauge("connections.opened", mPool::openedCount);
        metrics.registerGauge("overload.waiting", mOverload.waiting()::size);
        metrics.registerGauge("prompt.blocked_parts", mEvidence::blockedCount);
        metrics.registerGauge("servers.slow", mLoads.slow()::slowCount);
    }

    private static MultiThreadIoEventLoopGroup newSingleThreadGroup(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory());
    }

    /** Returns the client for requests of this process to the platform. */
    public PlatformHttpClient platformClient() {
        return mPlatformClient;
    }

    /**
     * Returns a scheduler that runs tasks on the event loop of the platform client, for requests
     * that must not wait for another thread.
     */
    public Scheduler platformScheduler() {
        return Schedulers.from(mPlatformGroup.next());
    }

    /** Returns the server that accepts connections from callers. */
    public FrontServer frontServer() {
        return mFrontServer;
    }

    /** Returns the view that the traffic thread currently uses. */
    public TrafficView view() {
        return mView;
    }

    /** Whether the traffic thread has ended, or is about to; it is never started again. */
    public boolean hasEnded() {
        return mLoop.isShuttingDown();
    }

    /** Runs an action on the traffic thread. */
    public void execute(Runnable action) {
        mLoop.execute(action);
    }

    /**
     * Publishes a new view, applies the announcements of its servers to the recorded models, and
     * notifies the calls that wait for models.
     */
    public void publish(TrafficView view) {
        mView = view;
        mLoop.execute(
                () -> {
                    mHoldings.applyAnnouncements(view.directory(), mContext.clock().nowMillis());
                    mFrontServer.onHoldingsChanged();
                });
    }

    /**
     * Replaces the recorded models of the given servers with those that the controller reports, and
     * notifies the calls that wait for models.
     *
     * @param holdings models, each with its adapters, by the incarnation of the server
     * @param activeCalls number of active calls, over all entries, on engines, by their ids
     */
    public void updateHoldings(
            Map<ServerIncarnation, Map<String, Set<String>>> holdings,
            Map<String, Integer> activeCalls) {
        mLoop.execute(
                () -> {
                    mHoldings.recordControllerReply(mContext.clock().nowMillis());
                    mLoads.recordActiveCalls(activeCalls);
                    holdings.forEach(mHoldings::replace);
                    if (!holdings.isEmpty()) {
                        mFrontServer.onHoldingsChanged();
                    }
                });
    }

    /** Records that a server holds a model or adapter and notifies the calls that wait for it. */
    public void onModelGranted(ServerIncarnation incarnation, ModelTarget target) {
        mLoop.execute(
                () -> {
                    mHoldings.add(incarnation, target);
                    mFrontServer.onModelGranted(target);
                });
    }

    /**
     * Begins to limit customers to their quotas; called before this process serves callers.
     *
     * @param entry id of this entry
     * @param requester asks for tokens
     */
    public void startQuotas(String entry, QuotaBounds bounds, QuotaRequester requester) {
        mLoop.execute(() -> mContext.quotas().start(entry, bounds, requester));
    }

    /** Passes a report on customers' quotas to the receiver, if a customer has one. */
    public void reportQuotas(Consumer<QuotaReport> receiver) {
        mLoop.execute(() -> mContext.quotas().takeReport().ifPresent(receiver));
    }

    /** Passes on a ledger's reply to a report that was taken at a time. */
    public void onQuotaReply(QuotaReply reply, long sentMillis) {
        mLoop.execute(() -> mContext.quotas().onReply(reply, sentMillis));
    }

    /** Called after a question for tokens was answered, or has failed. */
    public void onQuotaAskEnded() {
        mLoop.execute(mContext.quotas()::onAskEnded);
    }

    /** Passes a report on the calls to the receiver, which is called on the traffic thread. */
    public void report(Consumer<TrafficReport> receiver) {
        mLoop.execute(() -> receiver.accept(newReport(mContext.clock().nowMillis())));
    }

    private TrafficReport newReport(long nowMillis) {
        return new TrafficReport(
                mUsage.snapshot(),
                mEvidence.snapshot(),
                mLimits.takeReport(nowMillis),
                mContext.quotas().takeReport(),
                mOverload.state().customerUses(nowMillis));
    }

    /** Replaces the customers' shares by those that the controller has computed. */
    public void updateCustomerShares(Map<String, Double> fractions) {
        mLoop.execute(
                () ->
                        mOverload
                                .state()
                                .setCustomerFractions(fractions, mContext.clock().nowMillis()));
    }

    /**
     * Adds limits that other entries know, and permits for calls to limited servers, and notifies
     * the calls that wait for a permit.
     *
     * @param permits number of permits by server
     * @param until when the permits lapse
     */
    public void updateLimits(
            List<LimitObservation> limits,
            Map<ServerIncarnation, Integer> permits,
            Deadline until) {
        mLoop.execute(
                () -> {
                    limits.forEach(this::recordLimit);
                    permits.forEach((server, count) -> mLimits.addPermits(server, count, until));
                    if (!permits.isEmpty()) {
                        mFrontServer.onPermits();
                    }
                });
    }

    private void recordLimit(LimitObservation limit) {
        if (mLimits.record(limit)) {
            logLimit(limit);
        }
    }

    private void logLimit(LimitObservation limit) {
        mContext.log()
                .write(
                        "server.limit",
                        "id",
                        "-",
                        "server",
                        limit.server().id(),
                        "per_second",
                        limit.callsPerSecond(),
                        "age_ms",
                        mContext.clock().nowMillis() - limit.receivedMillis());
    }

    /** Records what an engine's reply to a report or an order says about its limit. */
    public void recordReplyLimit(ServerRecord server, LimitNotice notice, long sentMillis) {
        LimitObservation.of(server.incarnation(), notice, sentMillis, mContext.clock().nowMillis())
                .ifPresent(limit -> mLoop.execute(() -> recordReplyLimit(limit)));
    }

    /** Records that an engine's reply to a report or an order says that the engine is leaving. */
    public void recordLeaving(ServerRecord server) {
        mLoop.execute(
                () -> {
                    if (mNotices.recordLeaving(server.incarnation())) {
                        mContext.log().write("server.leaving", "id", "-", "server", server.id());
                    }
                });
    }

    private void recordReplyLimit(LimitObservation limit) {
        if (mLimits.recordReply(limit)) {
            logLimit(limit);
        }
    }

    /** Records an incarnation of a server that has become known, for the evidence on crashes. */
    public void recordServerStart(ServerIncarnation started) {
        mLoop.execute(() -> mEvidence.recordStart(started, mContext.clock().nowMillis()));
    }

    /** Adds the controller's evidence on parts of prompts that crash servers. */
    public void mergeEvidence(CrashEvidence.Snapshot evidence) {
        mLoop.execute(
                () ->
                        mEvidence.merge(
                                evidence.crashes(),
                                evidence.cleared(),
                                mContext.clock().nowMillis()));
    }

    /**
     * Closes idle connections that cannot be reused or are not needed any more, and discards the
     * load state of servers that have left the directory.
     */
    private void sweep() {
        DirectorySnapshot directory = mView.directory();
        Set<String> addresses = new HashSet<>();
        Set<ServerIncarnation> incarnations = new HashSet<>();
        addresses.add(mStoreEndpoint.toString());
        for (ServerRecord server : directory.all().values()) {
            incarnations.add(server.incarnation());
            if (!mNotices.isLeaving(server.incarnation())) {
                addresses.add(server.address());
            }
        }
        mPool.sweep(addresses);
        mPlatformGroup.execute(() -> mPlatformPool.sweep(addresses));
        mLoads.retain(incarnations);
        mLimits.retain(incarnations, mContext.clock().nowMillis());
        mNotices.expire(mContext.clock().nowMillis());
        mEvidence.expire(mContext.clock().nowMillis());
    }

    /** Stops the traffic thread within about a second; returns without waiting for it to end. */
    public void shutdown() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mPlatformGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

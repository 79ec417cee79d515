package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.Holdings;
import org.cornelway.dispatch.LeastLoadedChooser;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.time.Clock;

/**
 * The traffic thread with all that lives on it.
 *
 * <p>Thread-safe: each method hands its work to the traffic thread.
 */
public final class TrafficPlane {
    private static final long SWEEP_MILLIS = 1_000;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("traffic"), NioIoHandler.newFactory());
    private final EventLoop mLoop;
    private final UpstreamPool mPool;
    private final Holdings mHoldings = new Holdings();
    private final ModelUsage mUsage;
    private final ServerLoads mLoads;
    private final TrafficContext mContext;
    private final FrontServer mFront;
    private final PlatformHttpClient mCaller;
    private final HttpEndpoint mStore;
    private volatile TrafficView mView = TrafficView.empty();

    /**
     * @param zone availability zone of this process
     * @param front address for callers
     * @param store address of the key-value service; connections to it are kept
     * @param budget bound on what is sent again
     * @param desk source of models
     */
    public TrafficPlane(
            CallCodec codec,
            Clock clock,
            String zone,
            HttpEndpoint front,
            HttpEndpoint store,
            SlidingWindowRetryBudget budget,
            ModelRequester desk,
            EventLog log,
            MetricRegistry metrics) {
        mLoop = (EventLoop) mGroup.next();
        mPool = new UpstreamPool(mLoop, codec, clock);
        mLoads = new ServerLoads(clock, zone);
        mStore = store;
        mUsage = new ModelUsage(clock);
        mContext =
                new TrafficContext(
                        mLoop,
                        codec,
                        mPool,
                        () -> mView,
                        new LeastLoadedChooser(),
                        mLoads,
                        mHoldings,
                        budget,
                        desk,
                        mUsage,
                        clock,
                        log,
                        metrics);
        mFront = new FrontServer(front, mContext);
        mCaller = new PlatformHttpClient(mLoop, mPool);
        metrics.registerGauge("connections.opened", mPool::openedCount);
        mLoop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends calls of the system's own. */
    public PlatformHttpClient platformClient() {
        return mCaller;
    }

    /** Listens for callers. */
    public FrontServer frontServer() {
        return mFront;
    }

    /** What the traffic thread works with now. */
    public TrafficView view() {
        return mView;
    }

    /** Runs work on the traffic thread. */
    public void execute(Runnable work) {
        mLoop.execute(work);
    }

    /** Publishes what the control thread decided. */
    public void publish(TrafficView view) {
        mView = view;
        mLoop.execute(
                () -> {
                    mHoldings.applyAnnouncements(view.directory());
                    mFront.onHoldingsChanged();
                });
    }

    /** Takes over what the controller says that the engines hold. */
    public void updateHoldings(Map<ServerIncarnation, Map<String, Set<String>>> holdings) {
        mLoop.execute(
                () -> {
                    holdings.forEach(mHoldings::replace);
                    mFront.onHoldingsChanged();
                });
    }

    /** Notes that a server holds a model, and wakes the calls that wait for it. */
    public void onModelGranted(ServerIncarnation life, ModelTarget target) {
        mLoop.execute(
                () -> {
                    mHoldings.add(life, target);
                    mFront.onModelGranted(target);
                });
    }

    /** Hands over what is in use; called back on the traffic thread. */
    public void reportUsage(Consumer<ModelUsage.Snapshot> receiver) {
        mLoop.execute(() -> receiver.accept(mUsage.snapshot()));
    }

    private void sweep() {
        DirectorySnapshot directory = mView.directory();
        Set<String> wanted = new HashSet<>();
        Set<ServerIncarnation> lives = new HashSet<>();
        wanted.add(mStore.toString());
        for (ServerRecord server : directory.all().values()) {
            wanted.add(server.address());
            lives.add(server.incarnation());
        }
        mPool.sweep(wanted);
        mLoads.retain(lives);
    }

    /** Ends the traffic thread. */
    public void shutdown() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

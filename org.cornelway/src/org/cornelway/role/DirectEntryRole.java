package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.PeerGossip;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.grpc.ChannelPool;
import org.cornelway.internal.grpc.ClusterKeyAuthenticator;
import org.cornelway.internal.grpc.EntryServer;
import org.cornelway.internal.grpc.GrpcControllerClient;
import org.cornelway.internal.grpc.GrpcPeerClient;
import org.cornelway.internal.grpc.GrpcServer;
import org.cornelway.internal.grpc.PeerServer;
import org.cornelway.internal.grpc.WireByteCounter;
import org.cornelway.invariant.Invariants;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentSynchronizer;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.RelayMessages;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.Supervisor;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.TrafficPlane;

/**
 * An entry that calls backend servers itself, and orders the engines while it is the controller.
 *
 * <p>Used by the thread that starts and stops it; its parts say themselves how they may be used.
 */
public final class DirectEntryRole implements Component {
    private static final long STEP_MILLIS = 50;
    private static final long REPORT_MILLIS = 250;

    /** Time between two looks at the settings, which may change without a signal. */
    private static final long SETTINGS_MILLIS = 2_000;

    /** Part of the time until the kill that a stop may use. */
    private static final double GRACE_SHARE = 0.92;

    private final DirectEntrySettings mSettings;
    private final SettingsSource mSource;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Clock mClock = Clock.system();
    private final Scheduler mControl = newControl();
    private final EventLog mLog = new EventLog(mClock, mMetrics);
    private final DocumentCache mCache =
            new DocumentCache(new Invariants(mMetrics, false), mMetrics);
    private final WireByteCounter mWire = new WireByteCounter(mMetrics);
    private final ChannelPool mChannels = new ChannelPool();
    private final ClusterKeyAuthenticator mKey;
    private final MemberTable mMembers;
    private final ClusterState mBeliefs;
    private final TrafficPlane mTraffic;
    private final ControlPlane mPlane;
    private final PeerGossip mGossip;
    private final SlidingWindowRetryBudget mBudget;
    private final Supervisor mSupervisor;
    private DirectEntrySettings mInForce;

    /**
     * @param settings settings at the start
     * @param source the settings as they are later
     * @param ports ways to the platform
     */
    public DirectEntryRole(
            DirectEntrySettings settings, SettingsSource source, PlatformPorts ports) {
        mSettings = settings;
        mSource = source;
        mInForce = settings;
        mKey = new ClusterKeyAuthenticator(settings.clusterKey());
        mMembers = new MemberTable(settings.instanceId());
        mBeliefs =
                new ClusterState(
                        ports.routing(), ports.servers(), mCache, mMembers, mClock, mLog, mMetrics);
        DirectEntrySettings.Bounds bounds = settings.bounds();
        mBudget =
                new SlidingWindowRetryBudget(
                        mClock,
                        bounds.resendWindowMillis(),
                        bounds.resendRatio(),
                        bounds.resendSlack());
        DelegatingModelRequester desk = new DelegatingModelRequester();
        mTraffic = traffic(settings, ports, desk);
        mPlane =
                new ControlPlane(
                        new ControlPlane.Dependencies(
                                self(settings),
                                ports,
                                ports.store()
                                        .apply(
                                                new PlatformPorts.Target(
                                                        mTraffic.platformClient(),
                                                        settings.store())),
                                mTraffic,
                                new GrpcControllerClient(mChannels, mKey),
                                mBeliefs,
                                mCache,
                                mControl,
                                mClock,
                                mLog,
                                mMetrics));
        desk.setDelegate(mPlane.modelRequester());
        mGossip = gossip(settings);
        mSupervisor = supervise();
    }

    private static Scheduler newControl() {
        return Schedulers.from(
                Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control")));
    }

    private static ClusterMember self(DirectEntrySettings settings) {
        return new ClusterMember(
                settings.instanceId(),
                settings.control().toString(),
                settings.region(),
                settings.zone(),
                System.currentTimeMillis());
    }

    private TrafficPlane traffic(
            DirectEntrySettings settings, PlatformPorts ports, DelegatingModelRequester desk) {
        return new TrafficPlane(
                ports.codec(),
                mClock,
                settings.zone(),
                settings.front(),
                settings.store(),
                mBudget,
                desk,
                mLog,
                mMetrics);
    }

    private PeerGossip gossip(DirectEntrySettings settings) {
        DocumentSynchronizer exchanges =
                new DocumentSynchronizer(
                        new GrpcPeerClient(mChannels, mKey, mWire),
                        new RelayMessages(settings.instanceId(), mCache),
                        mControl,
                        mMetrics,
                        () -> {});
        return new PeerGossip(mMembers, settings.seeds(), exchanges, mClock, new Random());
    }

    /** Callers come first: after a loss of power they wait while the other parts start. */
    private Supervisor supervise() {
        PeerServer peers =
                new PeerServer(
                        new RelayMessages(mSettings.instanceId(), mCache),
                        mControl,
                        this::describe);
        GrpcServer grpc =
                new GrpcServer(
                        mSettings.control().host(),
                        mSettings.control().port(),
                        mKey,
                        mWire,
                        List.of(peers, new EntryServer(mPlane.requestHandler(), mControl)));
        Supervisor supervisor =
                new Supervisor("direct-entry", mMetrics).add(mChannels).add(new BeliefUpdater());
        mPlane.followers().forEach(supervisor::add);
        return supervisor
                .add(mTraffic.frontServer())
                .add(
                        new ReadinessServer(
                                mSettings.ready(), new ReadinessHandler(mMetrics, this::isReady)))
                .add(grpc);
    }

    private DescribeReply describe() {
        return DescribeReply.newBuilder()
                .setInstance(mSettings.instanceId())
                .setRole(name())
                .setConfigurationRevision(mBeliefs.configurationVersion())
                .setActive(mTraffic.frontServer().openCalls())
                .setLeaving(mTraffic.frontServer().isDraining())
                .setHoldsControllerLease(mPlane.isController())
                .setKeyValueServiceUp(!mPlane.isStoreUnavailable())
                .build();
    }

    private boolean isReady() {
        return !mTraffic.frontServer().isDraining()
                && mTraffic.view().routes().isPresent()
                && !mTraffic.view().directory().all().isEmpty();
    }

    /** Takes over settings that changed, as far as that can be done while running. */
    public void reload() {
        mControl.scheduleDirect(this::takeSettings);
    }

    private void takeSettings() {
        DirectEntrySettings next;
        try {
            next = mSource.read();
        } catch (IllegalArgumentException e) {
            mLog.write("settings.refused", "reason", e.getMessage());
            return;
        }
        if (next.equals(mInForce)) {
            return;
        }
        boolean restart = !next.withoutReloadable().equals(mSettings.withoutReloadable());
        mGossip.setSeeds(next.seeds());
        mBudget.setBounds(next.bounds().resendRatio(), next.bounds().resendSlack());
        mInForce = next;
        mLog.write("settings.reloaded", "seeds", next.seeds(), "needs_restart", restart);
    }

    private void step() {
        mPlane.step();
        mGossip.step(mPlane.isStoreUnavailable() || mBeliefs.routes().isEmpty());
        if (mBeliefs.expireServers()) {
            publish();
        }
    }

    private void publish() {
        mTraffic.publish(mBeliefs.trafficView());
        mPlane.clusterStateChanged();
    }

    @Override
    public String name() {
        return "direct-entry";
    }

    @Override
    public Completable start() {
        mLog.write(
                "process.start",
                "instance",
                mSettings.instanceId(),
                "zone",
                mSettings.zone(),
                "front",
                mSettings.front(),
                "store",
                mSettings.store());
        return mSupervisor.start();
    }

    @Override
    public Completable drain(Deadline deadline) {
        mLog.write("process.drain", "instance", mSettings.instanceId());
        long grace = (long) (mSettings.bounds().graceMillis() * GRACE_SHARE);
        Deadline own = Deadline.after(mClock.nowMillis(), grace);
        mControl.scheduleDirect(mPlane::resign);
        return mTraffic.frontServer().drain(own);
    }

    @Override
    public Completable stop() {
        return mPlane.releaseLease()
                .andThen(mSupervisor.stop())
                .andThen(
                        Completable.fromAction(
                                () -> {
                                    mLog.write("process.stop", "instance", mSettings.instanceId());
                                    mTraffic.shutdown();
                                }));
    }

    /** Keeps beliefs current, and does what is due. */
    private final class BeliefUpdater implements Component {
        @Override
        public String name() {
            return "belief-updater";
        }

        @Override
        public Completable start() {
            return Completable.fromAction(
                    () -> {
                        ClusterStatePublisher publisher =
                                new ClusterStatePublisher(
                                        mBeliefs::apply, mControl, DirectEntryRole.this::publish);
                        mCache.changes().observeOn(mControl).subscribe(publisher::apply);
                        mSupervisor.schedulePeriodically(
                                "step", STEP_MILLIS, mControl, DirectEntryRole.this::step);
                        mSupervisor.schedulePeriodically(
                                "settings",
                                SETTINGS_MILLIS,
                                mControl,
                                DirectEntryRole.this::takeSettings);
                        mSupervisor.schedulePeriodically(
                                "report", REPORT_MILLIS, mControl, mPlane::reportUsage);
                    });
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }
}

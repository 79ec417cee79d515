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
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.supervisor.Supervisor;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.TrafficPlane;

/**
 * The process of an entry that calls backend servers directly. While it is the controller, it also
 * sends orders to the model engines.
 *
 * <p>Called only by the thread that starts and stops the process, except {@link #reload} and {@link
 * #awaitFailure}, which are thread-safe. Each component documents its own threading.
 */
public final class DirectEntryRole implements Component {
    private static final long STEP_PERIOD_MILLIS = 50;
    private static final long REPORT_PERIOD_MILLIS = 250;

    /** Time between two reads of the settings, which may change without a signal to the process. */
    private static final long SETTINGS_PERIOD_MILLIS = 2_000;

    private final DirectEntrySettings mInitialSettings;
    private final SettingsSource mSettingsSource;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Clock mClock = Clock.system();
    private final Scheduler mControl = newControlScheduler();
    private final EventLog mLog = new EventLog(mClock, mMetrics);
    private final DocumentCache mCache =
            new DocumentCache(new Invariants(mMetrics, false), mMetrics);
    private final WireByteCounter mByteCounter = new WireByteCounter(mMetrics);
    private final ChannelPool mChannels = new ChannelPool();
    private final ClusterKeyAuthenticator mAuthenticator;
    private final MemberTable mMembers;
    private final ClusterState mClusterState;
    private final TrafficPlane mTraffic;
    private final TrafficWatch mTrafficWatch;
    private final ControlPlane mControlPlane;
    private final PeerGossip mGossip;
    private final SlidingWindowRetryBudget mRetryBudget;
    private final Supervisor mSupervisor;
    private DirectEntrySettings mCurrentSettings;

    /**
     * @param settings settings at the start of the process
     * @param source reads the current settings
     * @param ports adapters to the platform
     */
    public DirectEntryRole(
            DirectEntrySettings settings, SettingsSource source, PlatformPorts ports) {
        mInitialSettings = settings;
        mSettingsSource = source;
        mCurrentSettings = settings;
        mAuthenticator = new ClusterKeyAuthenticator(settings.clusterKey());
        mMembers = new MemberTable(settings.instanceId());
        mClusterState =
                new ClusterState(
                        ports.routing(), ports.servers(), mCache, mMembers, mClock, mLog, mMetrics);
        DirectEntrySettings.Bounds bounds = settings.bounds();
        mRetryBudget =
                new SlidingWindowRetryBudget(
                        mClock,
                        bounds.retryWindowMillis(),
                        bounds.retryRatio(),
                        bounds.retrySlack());
        DelegatingModelRequester modelRequester = new DelegatingModelRequester();
        mTraffic = newTraffic(settings, ports, modelRequester);
        mTrafficWatch = new TrafficWatch(mTraffic, Schedulers.single(), mClock, mLog, mMetrics);
        mControlPlane = newControlPlane(settings, ports);
        modelRequester.setDelegate(mControlPlane.modelRequester());
        mGossip = newGossip(settings);
        mSupervisor = newSupervisor();
    }

    private static Scheduler newControlScheduler() {
        return Schedulers.from(
                Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control")));
    }

    private static ClusterMember newRegistration(DirectEntrySettings settings) {
        return new ClusterMember(
                settings.instanceId(),
                settings.control().toString(),
                settings.region(),
                settings.zone(),
                System.currentTimeMillis(),
                settings.processorCores());
    }

    private ControlPlane newControlPlane(DirectEntrySettings settings, PlatformPorts ports) {
        return new ControlPlane(
                new ControlPlane.Dependencies(
                        newRegistration(settings),
                        settings.bounds().drainMillis(),
                        settings.bounds().reelectionMillis(),
                        settings.bounds().quotas(),
                        ports,
                        ports.store()
                                .apply(
                                        new PlatformPorts.StoreEndpoint(
                                                mTraffic.platformClient(), settings.store())),
                        mTraffic,
                        new GrpcControllerClient(mChannels, mAuthenticator),
                        mClusterState,
                        mCache,
                        mControl,
                        mClock,
                        mLog,
                        mMetrics));
    }

    private TrafficPlane newTraffic(
            DirectEntrySettings settings,
            PlatformPorts ports,
            DelegatingModelRequester modelRequester) {
        return new TrafficPlane(
                ports.codec(),
                mClock,
                settings.zone(),
                settings.front(),
                settings.store(),
                mRetryBudget,
                modelRequester,
                mLog,
                mMetrics);
    }

    private PeerGossip newGossip(DirectEntrySettings settings) {
        DocumentSynchronizer synchronizer =
                new DocumentSynchronizer(
                        new GrpcPeerClient(mChannels, mAuthenticator, mByteCounter),
                        new RelayMessages(settings.instanceId(), mCache),
                        mControl,
                        mMetrics,
                        () -> {});
        return new PeerGossip(mMembers, settings.seeds(), synchronizer, mClock, new Random());
    }

    /**
     * Creates the supervisor. The server for callers starts before the readiness server and the
     * gRPC server, because after a power failure callers try to connect while this process is still
     * starting.
     */
    private Supervisor newSupervisor() {
        PeerServer peerServer =
                new PeerServer(
                        new RelayMessages(mInitialSettings.instanceId(), mCache),
                        mControl,
                        this::describe);
        GrpcServer grpc =
                new GrpcServer(
                        mInitialSettings.control().host(),
                        mInitialSettings.control().port(),
                        mAuthenticator,
                        mByteCounter,
                        List.of(
                                peerServer,
                                new EntryServer(mControlPlane.requestHandler(), mControl)));
        Supervisor supervisor =
                new Supervisor("direct-entry", mMetrics)
                        .add(mChannels)
                        .add(new ClusterStateUpdater())
                        .add(mControlPlane.lease());
        mControlPlane.followers().forEach(supervisor::add);
        return supervisor
                .add(mTraffic.frontServer())
                .add(mTrafficWatch)
                .add(
                        new ReadinessServer(
                                mInitialSettings.ready(),
                                new ReadinessHandler(mMetrics, this::isReady)))
                .add(grpc);
    }

    private DescribeReply describe() {
        return DescribeReply.newBuilder()
                .setInstance(mInitialSettings.instanceId())
                .setRole(name())
                .setConfigurationRevision(mClusterState.configurationVersion())
                .setActive(mTraffic.frontServer().openCallCount())
                .setLeaving(mTraffic.frontServer().isDraining())
                .setHoldsControllerLease(mControlPlane.isController())
                .setKeyValueServiceUp(!mControlPlane.isStoreUnavailable())
                .build();
    }

    private boolean isReady() {
        return !mSupervisor.isStopRequested()
                && mTrafficWatch.isGoingOn()
                && mTraffic.view().routes().isPresent()
                && !mTraffic.view().directory().all().isEmpty();
    }

    /** Returns when the process can't go on and must end with an error; blocks until then. */
    public void awaitFailure() {
        mTrafficWatch.ended().blockingAwait();
    }

    /**
     * Reads the settings again and applies the changes that can be applied while the process runs.
     */
    public void reload() {
        mControl.scheduleDirect(this::reloadSettings);
    }

    private void reloadSettings() {
        DirectEntrySettings next;
        try {
            next = mSettingsSource.read();
        } catch (IllegalArgumentException e) {
            mLog.write("settings.refused", "reason", e.getMessage());
            return;
        }
        if (next.equals(mCurrentSettings)) {
            return;
        }
        boolean needsRestart =
                !next.withoutReloadable().equals(mInitialSettings.withoutReloadable());
        mGossip.setSeeds(next.seeds());
        mRetryBudget.setRatioAndSlack(next.bounds().retryRatio(), next.bounds().retrySlack());
        mCurrentSettings = next;
        mLog.write("settings.reloaded", "seeds", next.seeds(), "needs_restart", needsRestart);
    }

    private void step() {
        mControlPlane.step();
        mGossip.step(mControlPlane.isStoreUnavailable() || mClusterState.routes().isEmpty());
        if (mClusterState.expireServers()) {
            publish();
        }
    }

    private void publish() {
        mTraffic.publish(mClusterState.trafficView());
        mClusterState.takeStartedServers().forEach(mTraffic::recordServerStart);
        mControlPlane.onClusterStateChanged();
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
                mInitialSettings.instanceId(),
                "zone",
                mInitialSettings.zone(),
                "front",
                mInitialSettings.front(),
                "store",
                mInitialSettings.store());
        return mSupervisor.start();
    }

    @Override
    public void requestStop() {
        mSupervisor.requestStop();
    }

    @Override
    public Completable drain(Deadline deadline) {
        mLog.write("process.drain", "instance", mInitialSettings.instanceId());
        mControl.scheduleDirect(mControlPlane::resign);
        return mSupervisor.drain(deadline);
    }

    @Override
    public Completable stop() {
        return mControlPlane
                .releaseLease()
                .andThen(mSupervisor.stop())
                .andThen(
                        Completable.fromAction(
                                () -> {
                                    mLog.write(
                                            "process.stop",
                                            "instance",
                                            mInitialSettings.instanceId());
                                    mTraffic.shutdown();
                                }));
    }

    /** Keeps the cluster state up to date and runs the periodic tasks. */
    private final class ClusterStateUpdater implements Component {
        @Override
        public String name() {
            // The component keeps its earlier name, since log readers match it.
            return "belief-updater";
        }

        @Override
        public Completable start() {
            return Completable.fromAction(
                    () -> {
                        ClusterStatePublisher publisher =
                                new ClusterStatePublisher(
                                        mClusterState::apply,
                                        mControl,
                                        DirectEntryRole.this::publish,
                                        mLog);
                        mCache.changes()
                                .observeOn(mControl)
                                .subscribe(
                                        change ->
                                                new GuardedTask(
                                                                "change of " + change.key(),
                                                                mMetrics,
                                                                () -> publisher.apply(change))
                                                        .run());
                        mSupervisor.schedulePeriodically(
                                "step", STEP_PERIOD_MILLIS, mControl, DirectEntryRole.this::step);
                        mSupervisor.schedulePeriodically(
                                "settings",
                                SETTINGS_PERIOD_MILLIS,
                                mControl,
                                DirectEntryRole.this::reloadSettings);
                        mSupervisor.schedulePeriodically(
                                "report",
                                REPORT_PERIOD_MILLIS,
                                mControl,
                                mControlPlane::reportUsage);
                    });
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }
}

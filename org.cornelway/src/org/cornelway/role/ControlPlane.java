package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.CoalescingModelRequester;
import org.cornelway.cluster.ControllerClient;
import org.cornelway.cluster.ControllerRequestHandler;
import org.cornelway.cluster.DemandStore;
import org.cornelway.cluster.Election;
import org.cornelway.cluster.FallbackPermits;
import org.cornelway.cluster.LimitDistributor;
import org.cornelway.cluster.ProcessLease;
import org.cornelway.cluster.Registration;
import org.cornelway.cluster.StoreFollower;
import org.cornelway.cluster.StoreHealth;
import org.cornelway.cluster.UsageReporter;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;
import org.cornelway.dispatch.ServerNotices;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.CheapestLoadPlanner;
import org.cornelway.models.DeferralPolicy;
import org.cornelway.models.ModelController;
import org.cornelway.models.ModelEvents;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineNoticeListener;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.quota.QuotaBounds;
import org.cornelway.relay.DocumentCache;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.time.SuspendAwareClock;
import org.cornelway.traffic.ModelRequester;
import org.cornelway.traffic.TrafficPlane;

/**
 * Coordinates an entry with the other entries: keeps its lease and registration in the key-value
 * service, takes part in the election of the controller, and requests models.
 *
 * <p>Confined to the control thread.
 */
final class ControlPlane implements Election.Listener {
    /**
     * Pause after a change of the configuration. The change itself is applied at once; further
     * changes made during the pause are read together when it ends.
     */
    private static final long CONFIGURATION_PAUSE_MILLIS = 150;

    /**
     * Pause after a change of the servers, as a share of the time that a drain allows.
     * Announcements change often while models are loaded and unloaded. A draining server announces
     * that it drains, and an entry sends it no new calls once the entry has read the announcement,
     * so the pause takes less than half of the time allowed.
     */
    private static final double SERVERS_PAUSE_SHARE = 0.45;

    /**
     * Longest wait for a change of the configuration or the servers. A wait that the service has
     * lost ends soon enough for the bounds of these changes.
     */
    private static final long PLATFORM_WAIT_MILLIS = 4_000;

    /** Longest wait for a change of a key that the system itself writes. */
    private static final long SYSTEM_WAIT_MILLIS = 20_000;

    /** Pause after a change of a key that the system itself writes. */
    private static final long SYSTEM_PAUSE_MILLIS = 150;

    /** Longest wait for the revocation of the lease when the process stops. */
    private static final long RELEASE_TIMEOUT_MILLIS = 300;

    private final Dependencies mDeps;
    private final StoreHealth mHealth;
    private final ProcessLease mLease;
    private final Registration mRegistration;
    private final Election mElection;
    private final ServerNotices mNotices = new ServerNotices();
    private final LimitDistributor mLimits = new LimitDistributor();
    private final ModelController mController;
    private final DemandStore mDemandStore;
    private final ControllerRequestHandler mRequestHandler;
    private final CoalescingModelRequester mModelRequester;
    private final QuotaControl mQuotas;
    private final UsageReporter mUsageReporter;
    private final List<StoreFollower> mFollowers;
    private boolean mResigned;

    /**
     * Dependencies of the control plane. Immutable.
     *
     * @param self registration of this process
     * @param drainMillis time from the announcement that a backend server drains until no call may
     *     reach it any more
     * @param reelectionMillis shortest time between two orders of an instance to an engine if
     *     another instance has given orders in between
     * @param quotaBounds by how much customers may exceed their quotas
     * @param store the key-value service
     */
    record Dependencies(
            ClusterMember self,
            long drainMillis,
            long reelectionMillis,
            QuotaBounds quotaBounds,
            PlatformPorts ports,
            PlatformPorts.Store store,
            TrafficPlane traffic,
            ControllerClient controllerClient,
            ClusterState clusterState,
            DocumentCache cache,
            Scheduler control,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {}

    ControlPlane(Dependencies deps) {
        mDeps = deps;
        ClusterState clusterState = deps.clusterState();
        KeyValueStore keys = deps.store().keys();
        Scheduler control = deps.control();
        EventLog log = deps.log();
        mHealth =
                new StoreHealth(
                        () -> control.now(TimeUnit.MILLISECONDS),
                        log,
                        deps.metrics(),
                        clusterState::onStoreUnavailable,
                        clusterState::onStoreAvailable,
                        this::onStoreRecovered);
        mLease = newLease();
        mRegistration = new Registration(deps.self(), keys, mLease, deps.cache(), control);
        mElection = newElection(keys);
        EngineControl engines =
                deps.ports()
                        .engines()
                        .create(deps.traffic().platformClient(), deps.clock(), new EngineNotices());
        mController = newModelController(engines);
        mDemandStore = new DemandStore(keys, mController.demand(), control, log);
        mQuotas = new QuotaControl(deps, mElection);
        mRequestHandler =
                new ControllerRequestHandler(
                        mController,
                        mElection,
                        this::findIncarnation,
                        mLimits,
                        mQuotas.handler(),
                        control);
        mModelRequester = newModelRequester();
        mUsageReporter = newUsageReporter();
        mFollowers = newFollowers();
        deps.store().feed().restores().observeOn(control).subscribe(this::onStoreRestored);
    }

    private Election newElection(KeyValueStore keys) {
        return new Election(
                mDeps.self(),
                mDeps.reelectionMillis(),
                keys,
                mLease,
                mDeps.cache(),
                mDeps.control(),
                mDeps.clock(),
                mDeps.log(),
                this);
    }

    private ModelController newModelController(EngineControl engines) {
        return new ModelController(
                engines,
                mDeps.control(),
                mElection,
                new CheapestLoadPlanner(),
                mLimits,
                // Calls that wait for a later load came late where engines took longer than
                // estimated; see docs/design/rare-models.md.
                DeferralPolicy.NEVER,
                new ModelEvents(mDeps.log(), mDeps.metrics()));
    }

    private void onEngineLeaving(ServerIncarnation engine) {
        if (mNotices.recordLeaving(engine)) {
            mController.applyDirectory(directoryWithoutLeaving());
            mController.scheduleRound();
        }
    }

    /** Returns the directory without the engines that have said that they are leaving. */
    private DirectorySnapshot directoryWithoutLeaving() {
        Map<String, ServerRecord> servers = new HashMap<>(mDeps.traffic().view().directory().all());
        servers.values().removeIf(server -> mNotices.isLeaving(server.incarnation()));
        return new DirectorySnapshot(servers);
    }

    /** Passes on what engines say in replies to reports and orders. */
    private final class EngineNotices implements EngineNoticeListener {
        @Override
        public void onLeaving(ServerRecord server) {
            mDeps.traffic().recordLeaving(server);
            mDeps.control().scheduleDirect(() -> onEngineLeaving(server.incarnation()));
        }

        @Override
        public void onReply(ServerRecord server, LimitNotice notice, long sentMillis) {
            mDeps.traffic().recordReplyLimit(server, notice, sentMillis);
        }
    }

    private List<StoreFollower> newFollowers() {
        long serversPauseMillis = (long) (mDeps.drainMillis() * SERVERS_PAUSE_SHARE);
        return Stream.of(
                        new StoreFollower.Keys(
                                ClusterKeys.CONFIGURATION_PREFIX,
                                PLATFORM_WAIT_MILLIS,
                                CONFIGURATION_PAUSE_MILLIS),
                        new StoreFollower.Keys(
                                ClusterKeys.SERVERS_PREFIX,
                                PLATFORM_WAIT_MILLIS,
                                serversPauseMillis),
                        new StoreFollower.Keys(
                                ClusterKeys.SYSTEM_PREFIX, SYSTEM_WAIT_MILLIS, SYSTEM_PAUSE_MILLIS))
                .map(this::newFollower)
                .toList();
    }

    private Optional<ServerIncarnation> findIncarnation(String serverId) {
        return mDeps.traffic().view().directory().find(serverId).map(ServerRecord::incarnation);
    }

    private ProcessLease newLease() {
        return new ProcessLease(
                mDeps.store().keys(),
                mDeps.traffic().platformScheduler(),
                mDeps.control(),
                SuspendAwareClock.system(),
                mHealth,
                mDeps.log());
    }

    private UsageReporter newUsageReporter() {
        return new UsageReporter(
                mDeps.self().id(),
                mElection,
                mRequestHandler,
                mDeps.controllerClient(),
                mDeps.control(),
                mDeps.traffic(),
                new FallbackPermits(
                        mDeps.self().id(),
                        mDeps.clusterState()::isPermitSharer,
                        mDeps.control().now(TimeUnit.MILLISECONDS)),
                mQuotas.exchange());
    }

    private CoalescingModelRequester newModelRequester() {
        return new CoalescingModelRequester(
                mDeps.self().id(),
                mElection,
                mRequestHandler,
                mDeps.controllerClient(),
                mDeps.control(),
                mDeps.clock(),
                mDeps.log(),
                mDeps.traffic());
    }

    private StoreFollower newFollower(StoreFollower.Keys keys) {
        return new StoreFollower(
                keys,
                mDeps.store().feed(),
                mDeps.cache(),
                mHealth,
                mDeps.control(),
                new Random(),
                mDeps.log(),
                mDeps.metrics());
    }

    /**
     * Returns the components that keep the cached documents up to date from the key-value service.
     */
    List<? extends Component> followers() {
        return mFollowers;
    }

    /** Returns the component that renews the lease of this process. */
    Component lease() {
        return mLease;
    }

    /** Returns the component that requests models for the calls of this process. */
    ModelRequester modelRequester() {
        return mModelRequester;
    }

    /** Returns the handler of the requests that other entries send to the controller. */
    ControllerRequestHandler requestHandler() {
        return mRequestHandler;
    }

    boolean isController() {
        return mElection.fencingNumber().isPresent();
    }

    private void onStoreRecovered() {
        mFollowers.forEach(StoreFollower::onServiceRecovered);
    }

    /** The term ends before the lease is given up, so that the last controller knows it was one. */
    private void onStoreRestored(long era) {
        mDeps.log().write("store.restored", "era", era, "controller", isController());
        mElection.onStoreRestored();
        mLease.onStoreRestored();
        mDeps.clusterState().onStoreRestored();
        mFollowers.forEach(StoreFollower::onServiceRecovered);
    }

    boolean isStoreUnavailable() {
        return mHealth.isUnavailable();
    }

    /** Runs all steps that are due; called periodically. */
    void step() {
        mRegistration.step();
        mElection.step(!mResigned, mDeps.clusterState().electionRank(mDeps.self().id()));
        mController.scheduleRound();
        if (isController()) {
            mDemandStore.writeIfDue();
        }
        mQuotas.step(isController());
    }

    /** Reports this process's usage of models to the controller. */
    void reportUsage() {
        mUsageReporter.step();
    }

    /** Passes a changed cluster state to the controller. */
    void onClusterStateChanged() {
        mDeps.clusterState().routes().ifPresent(mController::applyRoutes);
        DirectorySnapshot directory = mDeps.traffic().view().directory();
        mLimits.retain(directory.incarnations(), mDeps.control().now(TimeUnit.MILLISECONDS));
        mController.applyDirectory(directoryWithoutLeaving());
        mController.scheduleRound();
    }

    /**
     * Ends the term of this process as controller, if it is in one, and keeps it from being elected
     * again, so that another process becomes the controller.
     */
    void resign() {
        mResigned = true;
        mElection.resign();
    }

    /** Revokes the lease, so that the other entries see at once that this process has stopped. */
    Completable releaseLease() {
        return Completable.defer(mLease::release)
                .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorComplete();
    }

    @Override
    public void onTermBegan(long fencingNumber) {
        mDeps.clusterState().routes().ifPresent(mController::applyRoutes);
        mDemandStore.restore();
        mController.beginTerm(directoryWithoutLeaving());
    }

    @Override
    public void onTermEnded() {
        mController.endTerm();
    }
}

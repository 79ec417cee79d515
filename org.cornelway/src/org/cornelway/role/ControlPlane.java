package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.CoalescingModelRequester;
import org.cornelway.cluster.ControllerClient;
import org.cornelway.cluster.ControllerRequestHandler;
import org.cornelway.cluster.DemandStore;
import org.cornelway.cluster.Election;
import org.cornelway.cluster.ProcessLease;
import org.cornelway.cluster.Registration;
import org.cornelway.cluster.StoreFollower;
import org.cornelway.cluster.StoreHealth;
import org.cornelway.cluster.SuspensionClock;
import org.cornelway.cluster.UsageReporter;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.CheapestLoadPlanner;
import org.cornelway.models.ModelController;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.relay.DocumentCache;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.traffic.ModelRequester;
import org.cornelway.traffic.TrafficPlane;

/**
 * What an entry agrees on with the others through the key-value service: its lease, its
 * registration, the controller, and the models that calls wait for.
 *
 * <p>Confined to the control thread.
 */
final class ControlPlane implements Election.Listener {
    /** A new configuration is applied at once; a series of them is gathered a little. */
    private static final long CONFIGURATION_PAUSE_MILLIS = 150;

    /** Servers change often while models move; a second is half of what a drain allows. */
    private static final long SERVERS_PAUSE_MILLIS = 900;

    private static final long OWN_PAUSE_MILLIS = 60;
    private static final long RELEASE_MILLIS = 300;

    private final Dependencies mParts;
    private final StoreHealth mHealth;
    private final ProcessLease mLease;
    private final Registration mRegistration;
    private final Election mElection;
    private final ModelController mController;
    private final DemandStore mKeeper;
    private final ControllerRequestHandler mDesk;
    private final CoalescingModelRequester mAsker;
    private final UsageReporter mReporter;
    private final List<StoreFollower> mFollowers;
    private boolean mLeaving;

    /**
     * What the control plane works with. Immutable.
     *
     * @param self this process
     * @param store the key-value service
     */
    record Dependencies(
            ClusterMember self,
            PlatformPorts ports,
            PlatformPorts.Store store,
            TrafficPlane traffic,
            ControllerClient peers,
            ClusterState clusterState,
            DocumentCache cache,
            Scheduler control,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {}

    ControlPlane(Dependencies parts) {
        mParts = parts;
        ClusterState beliefs = parts.clusterState();
        KeyValueStore keys = parts.store().keys();
        Scheduler control = parts.control();
        EventLog log = parts.log();
        mHealth =
                new StoreHealth(
                        () -> control.now(TimeUnit.MILLISECONDS),
                        log,
                        parts.metrics(),
                        beliefs::storeUnavailable,
                        beliefs::storeAvailable);
        mLease = new ProcessLease(keys, control, SuspensionClock.system(), mHealth, log);
        mRegistration = new Registration(parts.self(), keys, mLease, parts.cache(), control);
        mElection = new Election(parts.self(), keys, mLease, parts.cache(), control, log, this);
        EngineControl engines = parts.ports().engines().apply(parts.traffic().platformClient());
        mController =
                new ModelController(engines, control, mElection, new CheapestLoadPlanner(), log);
        mKeeper = new DemandStore(keys, parts.cache(), mController.demand(), control);
        mDesk = new ControllerRequestHandler(mController, mElection, this::life, control);
        mAsker = newAsker();
        mReporter =
                new UsageReporter(
                        parts.self().id(),
                        mElection,
                        mDesk,
                        parts.peers(),
                        control,
                        parts.traffic());
        mFollowers =
                List.of(
                        follower(ClusterKeys.CONFIGURATION_PREFIX, CONFIGURATION_PAUSE_MILLIS),
                        follower(ClusterKeys.SERVERS_PREFIX, SERVERS_PAUSE_MILLIS),
                        follower(ClusterKeys.SYSTEM_PREFIX, OWN_PAUSE_MILLIS));
    }

    private Optional<ServerIncarnation> life(String server) {
        return mParts.traffic().view().directory().find(server).map(ServerRecord::incarnation);
    }

    private CoalescingModelRequester newAsker() {
        return new CoalescingModelRequester(
                mParts.self().id(),
                mElection,
                mDesk,
                mParts.peers(),
                mParts.control(),
                mParts.clock(),
                mParts.log(),
                mParts.traffic());
    }

    private StoreFollower follower(String prefix, long pauseMillis) {
        return new StoreFollower(
                prefix,
                pauseMillis,
                mParts.store().feed(),
                mParts.cache(),
                mHealth,
                mParts.control(),
                new Random(),
                mParts.metrics());
    }

    /** Components that follow the key-value service. */
    List<? extends Component> followers() {
        return mFollowers;
    }

    /** Source of models for calls. */
    ModelRequester modelRequester() {
        return mAsker;
    }

    /** Answers other entries. */
    ControllerRequestHandler requestHandler() {
        return mDesk;
    }

    boolean isController() {
        return mElection.fencingNumber().isPresent();
    }

    boolean isStoreUnavailable() {
        return mHealth.isUnavailable();
    }

    /** Does what is due; called a few times a second. */
    void step() {
        mLease.step();
        mRegistration.step();
        mElection.step(!mLeaving, mParts.clusterState().electionRank(mParts.self().id()));
        mController.runRound();
        if (isController()) {
            mKeeper.writeIfDue();
        }
    }

    /** Reports what this process uses. */
    void reportUsage() {
        mReporter.step();
    }

    /** Takes over beliefs that changed. */
    void clusterStateChanged() {
        mParts.clusterState().routes().ifPresent(mController::routesChanged);
        mController.directoryChanged(mParts.traffic().view().directory());
        mController.runRound();
    }

    /** Lets another process become the controller. */
    void resign() {
        mLeaving = true;
        mElection.resign();
    }

    /** Ends the lease, so that the others see at once that this process is gone. */
    Completable releaseLease() {
        return Completable.defer(mLease::release)
                .timeout(RELEASE_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorComplete();
    }

    @Override
    public void termBegan(long fence) {
        mParts.clusterState().routes().ifPresent(mController::routesChanged);
        mKeeper.restore();
        mController.beginTerm(mParts.traffic().view().directory());
    }

    @Override
    public void termEnded() {
        mController.endTerm();
    }
}

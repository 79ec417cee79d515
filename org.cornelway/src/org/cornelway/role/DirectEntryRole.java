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
import org.cornelway.dispatch.ResendBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.grpc.ChannelPool;
import org.cornelway.internal.grpc.ClusterKey;
import org.cornelway.internal.grpc.EntryServer;
import org.cornelway.internal.grpc.GrpcEntryPeers;
import org.cornelway.internal.grpc.GrpcPeerClient;
import org.cornelway.internal.grpc.GrpcServer;
import org.cornelway.internal.grpc.PeerServer;
import org.cornelway.internal.grpc.WireBytes;
import org.cornelway.invariant.Invariants;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.PeerExchanges;
import org.cornelway.relay.RelayExchange;
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
    private final WireBytes mWire = new WireBytes(mMetrics);
    private final ChannelPool mChannels = new ChannelPool();
    private final ClusterKey mKey;
    private final MemberTable mMembers;
    private final PlatformBeliefs mBeliefs;
    private final TrafficPlane mTraffic;
    private final ControlPlane mPlane;
    private final PeerGossip mGossip;
    private final ResendBudget mBudget;
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
        mKey = new ClusterKey(settings.clusterKey());
        mMembers = new MemberTable(settings.instanceId());
        mBeliefs =
                new PlatformBeliefs(
                        ports.routing(), ports.servers(), mCache, mMembers, mClock, mLog, mMetrics);
        DirectEntrySettings.Bounds bounds = settings.bounds();
        mBudget =
                new ResendBudget(
                        mClock,
                        bounds.resendWindowMillis(),
                        bounds.resendRatio(),
                        bounds.resendSlack());
        LateDesk desk = new LateDesk();
        mTraffic = traffic(settings, ports, desk);
        mPlane =
                new ControlPlane(
                        new ControlPlane.Parts(
                                self(settings),
                                ports,
                                ports.store()
                                        .apply(
                                                new PlatformPorts.Target(
                                                        mTraffic.caller(), settings.store())),
                                mTraffic,
                                new GrpcEntryPeers(mChannels, mKey),
                                mBeliefs,
                                mCache,
                                mControl,
                                mClock,
                                mLog,
                                mMetrics));
        desk.attach(mPlane.models());
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

    private TrafficPlane traffic(DirectEntrySettings settings, PlatformPorts ports, LateDesk desk) {
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
        PeerExchanges exchanges =
                new PeerExchanges(
                        new GrpcPeerClient(mChannels, mKey, mWire),
                        new RelayExchange(settings.instanceId(), mCache),
                        mControl,
                        mMetrics,
                        () -> {});
        return new PeerGossip(mMembers, settings.seeds(), exchanges, mClock, new Random());
    }

    /** Callers come first: after a loss of power they wait while the other parts start. */
    private Supervisor supervise() {
        PeerServer peers =
                new PeerServer(
                        new RelayExchange(mSettings.instanceId(), mCache),
                        mControl,
                        this::describe);
        GrpcServer grpc =
                new GrpcServer(
                        mSettings.control().host(),
                        mSettings.control().port(),
                        mKey,
                        mWire,
                        List.of(peers, new EntryServer(mPlane.desk(), mControl)));
        Supervisor supervisor =
                new Supervisor("direct-entry", mMetrics).add(mChannels).add(new BeliefUpdater());
        mPlane.followers().forEach(supervisor::add);
        return supervisor
                .add(mTraffic.front())
                .add(
                        new ReadinessServer(
                                mSettings.ready(), new ReadinessHandler(mMetrics, this::isReady)))
                .add(grpc);
    }

    private DescribeReply describe() {
        return DescribeReply.newBuilder()
                .setInstance(mSettings.instanceId())
                .setRole(name())
                .setConfigurationRevision(mBeliefs.version())
                .setActive(mTraffic.front().openCalls())
                .setLeaving(mTraffic.front().isDraining())
                .setHoldsControllerLease(mPlane.isController())
                .setKeyValueServiceUp(!mPlane.isStoreAway())
                .build();
    }

    private boolean isReady() {
        return !mTraffic.front().isDraining()
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
        mGossip.reseed(next.seeds());
        mBudget.rebind(next.bounds().resendRatio(), next.bounds().resendSlack());
        mInForce = next;
        mLog.write("settings.reloaded", "seeds", next.seeds(), "needs_restart", restart);
    }

    private void step() {
        mPlane.step();
        mGossip.step(mPlane.isStoreAway() || mBeliefs.routes().isEmpty());
        if (mBeliefs.expire()) {
            publish();
        }
    }

    private void publish() {
        mTraffic.publish(mBeliefs.view());
        mPlane.beliefsChanged();
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
        mControl.scheduleDirect(mPlane::leave);
        return mTraffic.front().drain(own);
    }

    @Override
    public Completable stop() {
        return mPlane.release()
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
                        BeliefPublisher publisher =
                                new BeliefPublisher(
                                        mBeliefs::take, mControl, DirectEntryRole.this::publish);
                        mCache.changes().observeOn(mControl).subscribe(publisher::take);
                        mSupervisor.every(
                                "step", STEP_MILLIS, mControl, DirectEntryRole.this::step);
                        mSupervisor.every(
                                "settings",
                                SETTINGS_MILLIS,
                                mControl,
                                DirectEntryRole.this::takeSettings);
                        mSupervisor.every("report", REPORT_MILLIS, mControl, mPlane::report);
                    });
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }
}

package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.grpc.BindableService;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import org.cornelway.internal.grpc.ChannelPool;
import org.cornelway.internal.grpc.ClusterKeyAuthenticator;
import org.cornelway.internal.grpc.GrpcPeerClient;
import org.cornelway.internal.grpc.GrpcServer;
import org.cornelway.internal.grpc.WireByteCounter;
import org.cornelway.internal.platform.EtcdKeyValueStore;
import org.cornelway.internal.platform.HttpInstanceList;
import org.cornelway.internal.platform.MeteredKeyValueStore;
import org.cornelway.invariant.Invariants;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentRelay;
import org.cornelway.relay.MemberPoller;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.RelaySettings;
import org.cornelway.supervisor.Supervisor;

/**
 * The components that an agent and an entry that calls agents have in common. Created once at
 * start; each component documents its own threading.
 */
public final class CommonComponents {
    private static final int EVENT_LOOPS = 2;
    private static final int WORKERS = 2;
    private static final int BLOCKING_THREADS = 2;

    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Invariants mInvariants;
    private final Vertx mVertx;
    private final Scheduler mControl;
    private final MeteredKeyValueStore mStore;
    private final MemberTable mMembers;
    private final DocumentCache mCache;
    private final ChannelPool mChannels = new ChannelPool();
    private final ClusterKeyAuthenticator mAuthenticator;
    private final WireByteCounter mByteCounter;
    private final GrpcPeerClient mPeerClient;
    private final DocumentRelay mRelay;
    private final MemberPoller mPoller;

    /**
     * @param settings settings that agents and entries have in common
     */
    public CommonComponents(CommonSettings settings) {
        mInvariants = new Invariants(mMetrics, settings.strictInvariants());
        mVertx = newVertx();
        mControl = newControlScheduler();
        EtcdKeyValueStore store =
                new EtcdKeyValueStore(
                        mVertx, settings.keyValueService(), settings.keyValueTimeoutMillis());
        HttpInstanceList instances = new HttpInstanceList(mVertx, settings.instanceList());
        mMetrics.registerGauge("heap.bytes", CommonComponents::heapBytes);
        mMetrics.registerGauge("kv.bytes", store::transferredBytes);
        mMetrics.registerGauge("instances.bytes", instances::transferredBytes);
        mStore = new MeteredKeyValueStore(store, mMetrics);
        mMembers = new MemberTable(settings.instanceId());
        mCache = new DocumentCache(mInvariants, mMetrics);
        mAuthenticator = new ClusterKeyAuthenticator(settings.clusterKey());
        mByteCounter = new WireByteCounter(mMetrics);
        mPeerClient = new GrpcPeerClient(mChannels, mAuthenticator, mByteCounter);
        mRelay = newRelay(settings.relay());
        mPoller =
                new MemberPoller(
                        instances, mMembers, mControl, settings.instancePollMillis(), mMetrics);
    }

    private DocumentRelay newRelay(RelaySettings settings) {
        return new DocumentRelay(
                mCache, mMembers, mPeerClient, mStore, mControl, settings, new Random(), mMetrics);
    }

    /** Creates the gRPC server of this process. */
    public GrpcServer newGrpcServer(CommonSettings settings, List<BindableService> services) {
        return new GrpcServer(
                settings.host(), settings.rpcPort(), mAuthenticator, mByteCounter, services);
    }

    private static long heapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Vertx newVertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(EVENT_LOOPS)
                        .setWorkerPoolSize(WORKERS)
                        .setInternalBlockingPoolSize(BLOCKING_THREADS));
    }

    private static Scheduler newControlScheduler() {
        return Schedulers.from(
                Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control")));
    }

    /** Creates a supervisor with the components that start before those of the role. */
    public Supervisor newSupervisor(String name) {
        return new Supervisor(name, mMetrics).add(mChannels).add(mPoller);
    }

    /** The metric registry. */
    public MetricRegistry metrics() {
        return mMetrics;
    }

    /** The checker of invariants. */
    public Invariants invariants() {
        return mInvariants;
    }

    /** The Vert.x instance. */
    public Vertx vertx() {
        return mVertx;
    }

    /** The scheduler of the control thread. */
    public Scheduler control() {
        return mControl;
    }

    /** The key-value service. */
    public MeteredKeyValueStore store() {
        return mStore;
    }

    /** The members of the system. */
    public MemberTable members() {
        return mMembers;
    }

    /** The cached documents. */
    public DocumentCache cache() {
        return mCache;
    }

    /** Connections to other processes. */
    public ChannelPool channels() {
        return mChannels;
    }

    /** The authenticator that uses the cluster key. */
    public ClusterKeyAuthenticator authenticator() {
        return mAuthenticator;
    }

    /** The client for calls to peers. */
    public GrpcPeerClient peerClient() {
        return mPeerClient;
    }

    /** The document relay. */
    public DocumentRelay relay() {
        return mRelay;
    }
}

package org.cornelway.bench.soak;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.DemoPresets;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;
import org.cornelway.invariant.Invariants;
import org.cornelway.placement.PlacementPlanner;
import org.cornelway.placement.Planner;
import org.cornelway.placement.SpreadPlacement;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.PeerClient;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.KeyValueState;

/**
 * Tests model placement while agents, instances and the key-value service fail and presets change.
 *
 * <p>Agents host the placement controller and load and unload models; every other engine checks
 * fencing numbers. Agents are killed and frozen, instances are replaced or leave, presets are
 * switched, and the key-value service has outages.
 *
 * <p>At the start of each load, the run checks that no engine uses more memory than it has. If the
 * replica limit of the loaded model is the same in all presets, the run also checks that the number
 * of replicas of the model that hold memory does not exceed the limit. At the end, after a period
 * without faults, the run checks that the number of replicas of each model is at least its number
 * of warm replicas and at most its limit.
 */
public final class PlacementRun implements RandomRun {
    private static final int SERVERS = 6;
    private static final int MODELS = 8;
    private static final int MAX_STEP_MILLIS = 400;

    /** Time without faults at the end of a run, in which the placement must converge. */
    private static final long FAULT_FREE_MILLIS = 180_000;

    /** Time from the notice that an instance is leaving until it is replaced. */
    private static final long LEAVING_MILLIS = 30_000;

    private static final int OUTAGE_PERIOD_STEPS = 150;
    private static final int OUTAGE_DURATION_STEPS = 30;

    private final PlannerFactory mPlannerFactory;

    /** Creates the planner of each agent's controller. */
    @FunctionalInterface
    public interface PlannerFactory {
        /** Creates a planner. */
        Planner create();
    }

    /** Tests the system's planner. */
    public PlacementRun() {
        this(() -> new PlacementPlanner(new SpreadPlacement()));
    }

    /** Tests the planners that a factory creates. */
    public PlacementRun(PlannerFactory plannerFactory) {
        mPlannerFactory = plannerFactory;
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        RunState state = new RunState(seed, mix);
        state.run(steps);
        return state.mReport;
    }

    /** The state of one run. */
    private final class RunState implements PeerClient {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStoreState = new KeyValueState(this::now);
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private final Map<String, SimulatedServer> mServers = new TreeMap<>();
        private Configuration mConfiguration;
        private int mNextServer;
        private int mListVersion;

        RunState(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            mConfiguration = new Configuration(0, preset(1), List.of(auditEntry(0)), 0);
            switchPreset(1);
            for (int i = 0; i < SERVERS; i++) {
                addServer();
            }
        }

        private void addServer() {
            String id = "s" + mNextServer++;
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(mStoreState, mScheduler, mFaults);
            SimulatedServer server =
                    new SimulatedServer(
                            id,
                            mNextServer % 2 == 0,
                            mScheduler,
                            mRandom,
                            mMix,
                            mReport,
                            store,
                            this,
                            mPlannerFactory.create(),
                            this::checkLimits);
            mServers.put(id, server);
            publishInstanceList();
        }

        /**
         * Returns a preset with a given replica limit for the odd-numbered models. The limits of
         * the other models are the same in all presets.
         */
        private Preset preset(int oddModelLimit) {
            List<ModelRule> rules = new ArrayList<>();
            for (int i = 0; i < MODELS; i++) {
                int limit = i % 2 == 0 ? 1 + i % 3 : oddModelLimit;
                int warm = i < 2 ? 1 : 0;
                rules.add(new ModelRule("m" + i, DemoPresets.MODEL_BYTES, warm, limit));
            }
            return new Preset(
                    "p" + oddModelLimit, rules, List.of(), List.of(), List.of(), 20_000, 0.5);
        }

        private AuditEntry auditEntry(long version) {
            return new AuditEntry("c" + version, "run", now(), "switch", "", "", version);
        }

        /**
         * Activates a preset by a write to the store without faults; {@link ConfigurationRun} tests
         * how the configuration editor handles failed writes.
         */
        private void switchPreset(int oddModelLimit) {
            long version = mConfiguration.version() + 1;
            mConfiguration =
                    new Configuration(
                            version, preset(oddModelLimit), List.of(auditEntry(version)), 0);
            long revision =
                    mStoreState.get(DocumentKeys.CONFIGURATION).map(kv -> kv.revision()).orElse(0L);
            mStoreState.compareAndSwap(
                    DocumentKeys.CONFIGURATION,
                    revision,
                    Json.write(mConfiguration),
                    KeyValueStore.NO_LEASE);
        }

        void run(int steps) {
            for (int step = 0; step < steps; step++) {
                mReport.countOperation();
                advance(1 + mRandom.nextInt(MAX_STEP_MILLIS));
                randomServer().sendRequest("m" + mRandom.nextInt(MODELS));
                if (mMix.agentKillProbability() > 0) {
                    injectFaults(step);
                }
            }
            mFaults.stopFaults();
            mServers.values().forEach(SimulatedServer::stopFaults);
            advance(FAULT_FREE_MILLIS);
            checkFinalReplicas();
        }

        private void advance(long millis) {
            mScheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        }

        /**
         * Injects random faults, whose probabilities derive from that of a killed agent. An outage
         * of the key-value service starts every {@link #OUTAGE_PERIOD_STEPS} steps.
         */
        private void injectFaults(int step) {
            if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
                randomServer().restartAgent();
            }
            if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
                randomServer().freeze(now() + mRandom.nextInt(20_000));
            }
            if (mRandom.nextDouble() < mMix.agentKillProbability() / 2) {
                replaceInstance();
            }
            if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                mReport.countFault(RunReport.FaultKind.PRESET_SWITCHED);
                switchPreset(1 + mRandom.nextInt(3));
            }
            if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                announceLeaving();
            }
            int phase = step % OUTAGE_PERIOD_STEPS;
            if (phase == 0 || phase == OUTAGE_DURATION_STEPS) {
                mFaults.setOutage(phase == 0);
            }
        }

        private void replaceInstance() {
            mReport.countFault(RunReport.FaultKind.INSTANCE_REPLACED);
            removeServer(randomServer());
            addServer();
        }

        private void removeServer(SimulatedServer server) {
            server.stop();
            mServers.remove(server.id());
        }

        /** Marks a random instance as leaving, and replaces it {@link #LEAVING_MILLIS} later. */
        private void announceLeaving() {
            SimulatedServer server = randomServer();
            if (server.member().leaving()) {
                return;
            }
            mReport.countFault(RunReport.FaultKind.INSTANCE_LEAVING);
            server.setLeaving();
            publishInstanceList();
            mScheduler.scheduleDirect(
                    () -> {
                        if (mServers.containsKey(server.id())) {
                            removeServer(server);
                            addServer();
                        }
                    },
                    LEAVING_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        private SimulatedServer randomServer() {
            List<SimulatedServer> servers = new ArrayList<>(mServers.values());
            return servers.get(mRandom.nextInt(servers.size()));
        }

        /** Sends the current instance list to each agent after a random delay. */
        private void publishInstanceList() {
            List<Member> members = mServers.values().stream().map(SimulatedServer::member).toList();
            int version = ++mListVersion;
            for (SimulatedServer server : mServers.values()) {
                mScheduler.scheduleDirect(
                        () -> server.updateInstanceList(version, members),
                        mRandom.nextInt(3_000),
                        TimeUnit.MILLISECONDS);
            }
        }

        /**
         * Checks the replica limit of a model and the memory of all engines when a load of the
         * model begins.
         */
        private void checkLimits(String model) {
            int index = Integer.parseInt(model.substring(1));
            ModelRule rule = mConfiguration.preset().models().get(index);
            int replicas = replicaCount(model);
            if (index % 2 == 0) {
                mReport.check(
                        replicas <= rule.limit(),
                        now()
                                + ": "
                                + replicas
                                + " replicas of "
                                + model
                                + ", limit "
                                + rule.limit());
            }
            for (SimulatedServer server : mServers.values()) {
                mReport.check(
                        server.engine().usedBytes() <= SimulatedServer.MEMORY_BYTES,
                        now() + ": memory of " + server.id() + " is overcommitted");
            }
        }

        private int replicaCount(String model) {
            return (int)
                    mServers.values().stream()
                            .filter(server -> server.engine().residentModels().contains(model))
                            .count();
        }

        private void checkFinalReplicas() {
            for (ModelRule rule : mConfiguration.preset().models()) {
                int replicas = replicaCount(rule.name());
                mReport.check(
                        replicas >= rule.warm() && replicas <= rule.limit(),
                        "at the end there are " + replicas + " replicas of " + rule);
            }
        }

        @Override
        public Single<DescribeReply> describe(Member peer) {
            return Single.timer(1 + mRandom.nextInt(5), TimeUnit.MILLISECONDS, mScheduler)
                    .map(
                            tick -> {
                                SimulatedServer server = mServers.get(peer.id());
                                if (server == null || server.isFrozen()) {
                                    throw new java.io.IOException("the peer did not answer");
                                }
                                return server.describe();
                            });
        }

        @Override
        public Single<RelayReply> relay(Member peer, RelayRequest request) {
            return Single.timer(1 + mRandom.nextInt(800), TimeUnit.MILLISECONDS, mScheduler)
                    .map(
                            tick -> {
                                SimulatedServer server = mServers.get(peer.id());
                                boolean lost =
                                        mRandom.nextDouble() < mMix.connectionFaultProbability();
                                if (server == null || server.isFrozen() || lost) {
                                    throw new java.io.IOException("the peer did not answer");
                                }
                                return server.relay(request);
                            });
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }

    /** Returns a registry for metrics that the runs do not evaluate. */
    static MetricRegistry newMetrics() {
        return new MetricRegistry();
    }

    /** Returns the invariant checks of the runs, which are strict. */
    static Invariants invariants() {
        return Invariants.strict();
    }
}

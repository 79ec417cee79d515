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
 * Agents host the controller, load and unload on engines of both kinds, and are killed, frozen and
 * replaced while presets are switched and the key-value service fails.
 *
 * <p>Checked at each load: no more replicas of a model hold memory than its limit, for the models
 * whose limit never changes, and no engine holds more than its memory. Checked at the end, when all
 * is quiet: the same for all models, and the warm replicas are loaded.
 */
public final class PlacementRun implements RandomRun {
    private static final int SERVERS = 6;
    private static final int MODELS = 8;
    private static final int MAX_STEP_MILLIS = 400;
    private static final long QUIET_MILLIS = 180_000;
    private static final long LEAVING_MILLIS = 30_000;
    private static final int STEPS_PER_OUTAGE = 150;
    private static final int OUTAGE_STEPS = 30;

    private final PlannerFactory mPlanners;

    /** Makes the planner of each controller. */
    @FunctionalInterface
    public interface PlannerFactory {
        /** Makes a planner. */
        Planner create();
    }

    /** Runs the system's planner. */
    public PlacementRun() {
        this(() -> new PlacementPlanner(new SpreadPlacement()));
    }

    /** Runs a planner of choice. */
    public PlacementRun(PlannerFactory planners) {
        mPlanners = planners;
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        World world = new World(seed, mix);
        world.run(steps);
        return world.mReport;
    }

    /** The state of one run. */
    private final class World implements PeerClient {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mEngine = new KeyValueState(this::now);
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private final Map<String, SimulatedServer> mServers = new TreeMap<>();
        private Configuration mConfiguration;
        private int mNextServer;
        private int mListVersion;

        World(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            mConfiguration = new Configuration(0, preset(1), List.of(audit(0)), 0);
            switchPreset(1);
            for (int i = 0; i < SERVERS; i++) {
                addServer();
            }
        }

        private void addServer() {
            String id = "s" + mNextServer++;
            InMemoryKeyValueStore store = new InMemoryKeyValueStore(mEngine, mScheduler, mFaults);
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
                            mPlanners.create(),
                            this::loading);
            mServers.put(id, server);
            listAll();
        }

        private Preset preset(int oddLimit) {
            List<ModelRule> rules = new ArrayList<>();
            for (int i = 0; i < MODELS; i++) {
                int limit = i % 2 == 0 ? 1 + i % 3 : oddLimit;
                int warm = i < 2 ? 1 : 0;
                rules.add(new ModelRule("m" + i, DemoPresets.MODEL_BYTES, warm, limit));
            }
            return new Preset("p" + oddLimit, rules, List.of(), List.of(), List.of(), 20_000, 0.5);
        }

        private AuditEntry audit(long version) {
            return new AuditEntry("c" + version, "run", now(), "switch", "", "", version);
        }

        /** Puts a preset in force; the editor's own failures have a run of their own. */
        private void switchPreset(int oddLimit) {
            long version = mConfiguration.version() + 1;
            mConfiguration =
                    new Configuration(version, preset(oddLimit), List.of(audit(version)), 0);
            long revision =
                    mEngine.get(DocumentKeys.CONFIGURATION).map(kv -> kv.revision()).orElse(0L);
            mEngine.compareAndSwap(
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
                if (mMix.agentKilled() > 0) {
                    disturb(step);
                }
            }
            mFaults.stopFaults();
            mServers.values().forEach(SimulatedServer::stopFaults);
            advance(QUIET_MILLIS);
            checkQuiet();
        }

        private void advance(long millis) {
            mScheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        }

        private void disturb(int step) {
            if (mRandom.nextDouble() < mMix.agentKilled()) {
                mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
                randomServer().restartAgent();
            }
            if (mRandom.nextDouble() < mMix.agentKilled()) {
                mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
                randomServer().freeze(now() + mRandom.nextInt(20_000));
            }
            if (mRandom.nextDouble() < mMix.agentKilled() / 2) {
                replaceInstance();
            }
            if (mRandom.nextDouble() < mMix.agentKilled()) {
                mReport.countFault(RunReport.FaultKind.PRESET_SWITCHED);
                switchPreset(1 + mRandom.nextInt(3));
            }
            if (mRandom.nextDouble() < mMix.agentKilled()) {
                leave();
            }
            int phase = step % STEPS_PER_OUTAGE;
            if (phase == 0 || phase == OUTAGE_STEPS) {
                mFaults.setOutage(phase == 0);
            }
        }

        private void replaceInstance() {
            mReport.countFault(RunReport.FaultKind.INSTANCE_REPLACED);
            remove(randomServer());
            addServer();
        }

        private void remove(SimulatedServer server) {
            server.stop();
            mServers.remove(server.id());
        }

        /** Shows an instance as leaving; some time later another takes its place. */
        private void leave() {
            SimulatedServer server = randomServer();
            if (server.member().leaving()) {
                return;
            }
            mReport.countFault(RunReport.FaultKind.INSTANCE_LEAVING);
            server.setLeaving();
            listAll();
            mScheduler.scheduleDirect(
                    () -> {
                        if (mServers.containsKey(server.id())) {
                            remove(server);
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

        /** Shows the servers in each agent's list after a lag. */
        private void listAll() {
            List<Member> members = mServers.values().stream().map(SimulatedServer::member).toList();
            int version = ++mListVersion;
            for (SimulatedServer server : mServers.values()) {
                mScheduler.scheduleDirect(
                        () -> server.updateInstanceList(version, members),
                        mRandom.nextInt(3_000),
                        TimeUnit.MILLISECONDS);
            }
        }

        private void loading(String model) {
            int index = Integer.parseInt(model.substring(1));
            ModelRule rule = mConfiguration.preset().models().get(index);
            int held = held(model);
            if (index % 2 == 0) {
                mReport.check(
                        held <= rule.limit(),
                        now() + ": " + held + " replicas of " + model + ", limit " + rule.limit());
            }
            for (SimulatedServer server : mServers.values()) {
                mReport.check(
                        server.engine().usedBytes() <= SimulatedServer.MEMORY_BYTES,
                        now() + ": memory of " + server.id() + " is overcommitted");
            }
        }

        private int held(String model) {
            return (int)
                    mServers.values().stream()
                            .filter(server -> server.engine().residentModels().contains(model))
                            .count();
        }

        private void checkQuiet() {
            for (ModelRule rule : mConfiguration.preset().models()) {
                int held = held(rule.name());
                mReport.check(
                        held >= rule.warm() && held <= rule.limit(),
                        "at the end " + held + " replicas of " + rule);
            }
        }

        @Override
        public Single<DescribeReply> describe(Member peer) {
            return Single.timer(1 + mRandom.nextInt(5), TimeUnit.MILLISECONDS, mScheduler)
                    .map(
                            tick -> {
                                SimulatedServer server = mServers.get(peer.id());
                                if (server == null || server.isFrozen()) {
                                    throw new java.io.IOException("no answer");
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
                                boolean lost = mRandom.nextDouble() < mMix.connection();
                                if (server == null || server.isFrozen() || lost) {
                                    throw new java.io.IOException("no answer");
                                }
                                return server.relay(request);
                            });
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }

    static MetricRegistry metrics() {
        return new MetricRegistry();
    }

    static Invariants invariants() {
        return Invariants.strict();
    }
}

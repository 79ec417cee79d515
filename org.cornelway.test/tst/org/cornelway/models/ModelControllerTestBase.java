package org.cornelway.models;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;
import org.testng.annotations.BeforeMethod;

/** Base class of the tests of the controller with simulated engines in virtual time. */
abstract class ModelControllerTestBase {
    static final String SERVICE = "s";

    /** Number of models that fit into the memory of an engine. */
    static final int CAPACITY_MODELS = 2;

    /** Number of models that are loaded from the checkpoint store, since no engine has a copy. */
    static final int UNCACHED_MODELS = 30;

    /** Expected limit on concurrent loads from the checkpoint store. */
    static final int MAX_STORE_LOADS = 4;

    TestScheduler mTime;
    Map<String, SimulatedEngine> mEngines;
    ModelController mController;
    List<ModelRequestOutcome> mOutcomes;

    /** What the planner returns instead of a plan of its own. */
    Optional<LoadPlan> mFixedPlan;

    /** Model that the planner fails for; empty for none. */
    String mUnplannableModel;

    FixedLimits mLimits;

    /** The different views that the planner was given. */
    final Set<EngineView> mSeenViews = Collections.newSetFromMap(new IdentityHashMap<>());

    /** How often the planner was given a view, the same one counted each time. */
    int mSeenViewCount;

    @BeforeMethod
    public final void setUp() {
        mTime = new TestScheduler();
        mEngines = new HashMap<>();
        mOutcomes = new ArrayList<>();
        mFixedPlan = Optional.empty();
        mUnplannableModel = "";
        mLimits = new FixedLimits();
        mSeenViews.clear();
        mSeenViewCount = 0;
        MetricRegistry metrics = new MetricRegistry();
        EventLog log = new EventLog(() -> mTime.now(TimeUnit.MILLISECONDS), metrics);
        mController =
                new ModelController(
                        new EngineRouter(),
                        mTime,
                        new FixedTerm(),
                        this::recordAndPlan,
                        mLimits,
                        DeferralPolicy.BY_OBJECTIVE,
                        new ModelEvents(log, metrics));
    }

    /** Limits that a test sets. */
    static final class FixedLimits implements EngineLimits {
        final Set<String> mLimited = new HashSet<>();
        boolean mHasPermit;

        @Override
        public boolean isLimited(ServerIncarnation engine) {
            return mLimited.contains(engine.id());
        }

        @Override
        public boolean hasPermit(ServerIncarnation engine, long nowMillis) {
            return mHasPermit;
        }
    }

    /** Records the views that the planner is given, and returns the fixed plan if there is one. */
    private Optional<LoadPlan> recordAndPlan(LoadRequest request, List<EngineView> engines) {
        if (request.model().name().equals(mUnplannableModel)) {
            throw new IllegalStateException("a fault of this process");
        }
        if (mFixedPlan.isPresent()) {
            return mFixedPlan;
        }
        mSeenViews.addAll(engines);
        mSeenViewCount += engines.size();
        return new CheapestLoadPlanner().plan(request, engines);
    }

    /** Passes each call to the simulated engine of the server that the call names. */
    private final class EngineRouter implements EngineControl {
        @Override
        public Single<EngineReport> report(ServerRecord server) {
            return mEngines.get(server.id()).report(server);
        }

        @Override
        public Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit) {
            return mEngines.get(server.id()).order(server, order, permit);
        }
    }

    void addEngine(String id, String... models) {
        mEngines.put(id, new SimulatedEngine(mTime, 1, 0, CAPACITY_MODELS, models));
    }

    void beginTerm() {
        Map<String, ModelDefinition> models = new HashMap<>();
        SimulatedEngine.CACHED_MODELS.forEach(name -> models.put(name, model(name)));
        for (int i = 0; i < UNCACHED_MODELS; i++) {
            models.put("r" + i, model("r" + i));
        }
        EngineDefinition engines =
                new EngineDefinition(
                        8,
                        1_000,
                        CAPACITY_MODELS * SimulatedEngine.MODEL_MEGABYTES,
                        0,
                        4,
                        5,
                        models);
        mController.applyRoutes(
                new RouteTable(
                        new RoutingConfiguration(
                                1,
                                List.of(),
                                Map.of(
                                        SERVICE,
                                        new ServiceDefinition(SERVICE, 50, Optional.of(engines))),
                                CallerLimits.defaults(),
                                List.of())));
        mController.beginTerm(
                new DirectorySnapshot(
                        mEngines.keySet().stream()
                                .collect(
                                        Collectors.toMap(
                                                id -> id, id -> SimulatedEngine.record(id)))));
    }

    private static ModelDefinition model(String name) {
        return new ModelDefinition(
                name,
                SimulatedEngine.MODEL_MEGABYTES,
                SimulatedEngine.STORE_LOAD_MILLIS,
                SimulatedEngine.CACHED_LOAD_MILLIS,
                SimulatedEngine.CACHED_LOAD_MILLIS,
                0,
                0);
    }

    void runFor(long millis) {
        for (long i = 0; i < millis; i += 10) {
            mController.runRound();
            mTime.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
    }

    void request(String model, long timeoutMillis) {
        request(model, timeoutMillis, CallGroup.UNKNOWN);
    }

    /** Requests a model for calls that may wait for each other. */
    void requestDeferrable(String entry, String model, long objectiveMillis, long timeoutMillis) {
        long now = mTime.now(TimeUnit.MILLISECONDS);
        Deadline objective = Deadline.after(now, objectiveMillis);
        request(model, timeoutMillis, new CallGroup(entry, 1, objectiveMillis, objective));
    }

    private void request(String model, long timeoutMillis, CallGroup calls) {
        long now = mTime.now(TimeUnit.MILLISECONDS);
        mController.submit(
                new ModelRequest(
                        SERVICE,
                        new ModelTarget(model, ""),
                        Deadline.after(now, timeoutMillis),
                        1,
                        now,
                        1,
                        Optional.empty(),
                        calls),
                mOutcomes::add);
    }
}

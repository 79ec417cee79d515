package org.cornelway.models;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cornelway.directory.DirectorySnapshot;
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
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/** Plays the calls of a scenario to engines and a controller in virtual time. */
final class FleetSimulation {
    private static final int STEP_MILLIS = 10;
    private static final int REPORT_MILLIS = 250;
    private static final int ROUND_MILLIS = 200;
    private static final double RATE_HALF_LIFE_MILLIS = 3_000;
    private static final double MIN_RATE = 0.02;
    private static final int MIN_CALL_MILLIS = 600;
    private static final int CALL_MILLIS_RANGE = 800;
    private static final long BURST_PERIOD_MILLIS = 20_000;
    private static final long BURST_MILLIS = 6_000;
    private static final double BURST_FACTOR = 2.4;
    private static final double MODEL_MEGABYTES = 70_000;
    private static final int ENTRIES = 22;

    private final TestScheduler mTime = new TestScheduler();
    private final FleetScenario mScenario;
    private final Random mRandom;
    private final Random mDurations;
    private final Map<String, CachingEngine> mEngines = new TreeMap<>();
    private final CachingEngine.SharedStore mStore;
    private final ModelController mController;
    private final FleetFigures mFigures = new FleetFigures();
    private final Map<String, List<Call>> mWaiting = new TreeMap<>();
    private final Set<String> mAsked = new HashSet<>();
    private final PriorityQueue<RunningCall> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(RunningCall::endMillis));

    /** Decayed number of calls and the time of the last one, by entry and model. */
    private final Map<Integer, Map<String, double[]>> mRates = new TreeMap<>();

    private final FleetFigures.Counts mNotCounted = new FleetFigures.Counts();
    private long mCountedMillis;
    private List<Integer> mPopular = List.of();

    /** A call that waits for its model. */
    private record Call(String model, int entry, long arrivedMillis, FleetScenario.Kind kind) {
        boolean isRare() {
            return model.startsWith("r");
        }
    }

    private record RunningCall(String engine, String model, long endMillis) {}

    /** Creates the controller under test. */
    interface ControllerFactory {
        ModelController create(EngineControl engines, TestScheduler time, ModelEvents events);
    }

    FleetSimulation(FleetScenario scenario, long seed, ControllerFactory factory) {
        mScenario = scenario;
        mRandom = new Random(seed);
        mDurations = new Random(seed);
        mStore = new CachingEngine.SharedStore(scenario.loads().storeFullSpeed());
        MetricRegistry metrics = new MetricRegistry();
        ModelEvents events = new ModelEvents(new EventLog(this::now, metrics), metrics);
        mController = factory.create(new EngineRouter(), mTime, events);
        for (int i = 0; i < scenario.engines(); i++) {
            String id = String.format("e%02d", i);
            mEngines.put(id, new CachingEngine(mTime, id, scenario, mStore));
        }
        choosePopular();
        placeModels();
        mController.applyRoutes(routes());
        mController.beginTerm(
                new DirectorySnapshot(
                        mEngines.entrySet().stream()
                                .collect(
                                        Collectors.toMap(
                                                Map.Entry::getKey, e -> e.getValue().record()))));
    }

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

    private long now() {
        return mTime.now(TimeUnit.MILLISECONDS);
    }

    private void choosePopular() {
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < mScenario.candidates(); i++) {
            candidates.add(i);
        }
        Collections.shuffle(candidates, mRandom);
        mPopular = List.copyOf(candidates.subList(0, mScenario.popularAtOnce()));
    }

    /** Popular models get two replicas, others one as far as there is room; then copies on disk. */
    private void placeModels() {
        List<Integer> models = new ArrayList<>();
        for (int i = 0; i < mScenario.models(); i++) {
            models.add(i);
        }
        models.addAll(mScenario.candidates(), mPopular);
        List<CachingEngine> engines = new ArrayList<>(mEngines.values());
        int onDisk = 0;
        for (int i = 0; i < models.size(); i++) {
            String model = mScenario.model(models.get(i));
            CachingEngine engine = engines.get(i % engines.size());
            if (i < engines.size() * mScenario.places()) {
                engine.hold(model);
            } else if (onDisk < mScenario.rareOnDisk()) {
                engine.putOnDisk(model);
                onDisk++;
            }
        }
    }

    private RouteTable routes() {
        Map<String, ModelDefinition> models = new HashMap<>();
        FleetScenario.LoadTimes loads = mScenario.loads();
        for (int i = 0; i < mScenario.models(); i++) {
            String name = mScenario.model(i);
            models.put(
                    name,
                    new ModelDefinition(
                            name,
                            MODEL_MEGABYTES,
                            loads.store(),
                            loads.disk(),
                            loads.memory(),
                            0,
                            0));
        }
        EngineDefinition engines =
                new EngineDefinition(
                        mScenario.slots(),
                        96_000,
                        mScenario.places() * MODEL_MEGABYTES,
                        FleetScenario.MEMORY_MODELS * MODEL_MEGABYTES,
                        4,
                        8,
                        models);
        ServiceDefinition service = new ServiceDefinition("s", 50, Optional.of(engines));
        return new RouteTable(
                new RoutingConfiguration(
                        1, List.of(), Map.of("s", service), CallerLimits.defaults(), List.of()));
    }

    /**
     * Plays the scenario and returns the figures of the calls that arrive within some time. Goes on
     * until these calls have ended.
     */
    FleetFigures play(long millis) {
        mCountedMillis = millis;
        while (now() < millis + mScenario.rare().deadline()) {
            step();
            if (now() == millis) {
                mEngines.values().forEach(mFigures::addLoads);
            }
        }
        return mFigures;
    }

    int overcommits() {
        return mEngines.values().stream().mapToInt(CachingEngine::overcommits).sum();
    }

    private void step() {
        long now = now();
        while (!mRunning.isEmpty() && mRunning.peek().endMillis() <= now) {
            RunningCall call = mRunning.poll();
            mEngines.get(call.engine()).endCall(call.model());
        }
        if (now > 0 && now % mScenario.shiftMillis() == 0) {
            choosePopular();
        }
        arrive(mScenario.popular(), false, 1);
        boolean isBurst = now % BURST_PERIOD_MILLIS >= BURST_PERIOD_MILLIS - BURST_MILLIS;
        arrive(mScenario.rare(), true, isBurst ? BURST_FACTOR : 1);
        serveWaiting(now);
        if (now % REPORT_MILLIS == 0) {
            reportUsage(now);
        }
        if (now % ROUND_MILLIS == 0) {
            mController.scheduleRound();
        }
        long begun = System.nanoTime();
        mStore.advance(STEP_MILLIS);
        mTime.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        mFigures.recordRound(System.nanoTime() - begun);
    }

    private void arrive(FleetScenario.Kind kind, boolean isRare, double factor) {
        double expected = kind.callsPerSecond() * factor * STEP_MILLIS / 1_000;
        for (double p = mRandom.nextDouble(); p > Math.exp(-expected); p *= mRandom.nextDouble()) {
            int index =
                    isRare
                            ? mScenario.candidates() + mRandom.nextInt(mScenario.rareModels())
                            : mPopular.get(mRandom.nextInt(mPopular.size()));
            String model = mScenario.model(index);
            int entry = mRandom.nextInt(ENTRIES);
            mWaiting.computeIfAbsent(model, key -> new ArrayList<>())
                    .add(new Call(model, entry, now(), kind));
            counts(isRare, now()).mCalls++;
            double[] rate =
                    mRates.computeIfAbsent(entry, key -> new HashMap<>())
                            .computeIfAbsent(model, key -> new double[] {0, now()});
            rate[0] = decayed(rate, now()) + 1;
            rate[1] = now();
        }
    }

    private FleetFigures.Counts counts(boolean isRare, long arrivedMillis) {
        return arrivedMillis < mCountedMillis ? mFigures.of(isRare) : mNotCounted;
    }

    private static double decayed(double[] rate, long now) {
        return rate[0] * Math.pow(0.5, (now - rate[1]) / RATE_HALF_LIFE_MILLIS);
    }

    private void serveWaiting(long now) {
        for (String model : List.copyOf(mWaiting.keySet())) {
            for (Call call : List.copyOf(mWaiting.get(model))) {
                serve(call, now);
            }
            if (mWaiting.get(model).isEmpty()) {
                mWaiting.remove(model);
            }
        }
    }

    private void serve(Call call, long now) {
        Optional<CachingEngine> engine =
                mEngines.values().stream()
                        .filter(each -> each.canServe(call.model()))
                        .min(Comparator.comparingInt(CachingEngine::active));
        FleetFigures.Counts counts = counts(call.isRare(), call.arrivedMillis());
        if (engine.isPresent()) {
            begin(call, engine.get(), now);
        } else if (now - call.arrivedMillis() > call.kind().deadline()) {
            mWaiting.get(call.model()).remove(call);
            counts.mLost++;
        } else if (mAsked.add(call.entry() + call.model())) {
            ask(call, now);
        }
    }

    private void begin(Call call, CachingEngine engine, long now) {
        mWaiting.get(call.model()).remove(call);
        engine.beginCall(call.model());
        long end = now + MIN_CALL_MILLIS + mDurations.nextInt(CALL_MILLIS_RANGE);
        String id = engine.record().id();
        mRunning.add(new RunningCall(id, call.model(), end));
        FleetFigures.Counts counts = counts(call.isRare(), call.arrivedMillis());
        if (now - call.arrivedMillis() <= call.kind().objective()) {
            counts.mInTime++;
        } else {
            counts.mLate++;
        }
    }

    private void ask(Call call, long now) {
        mController.submit(
                new ModelRequest(
                        "s",
                        new ModelTarget(call.model(), ""),
                        new Deadline(call.arrivedMillis() + call.kind().deadline()),
                        call.kind().priority(),
                        now,
                        1,
                        Optional.empty(),
                        new CallGroup(
                                "entry" + call.entry(),
                                1,
                                call.kind().objective(),
                                new Deadline(call.arrivedMillis() + call.kind().objective()))),
                outcome -> onAnswer(call, outcome));
    }

    private void onAnswer(Call asked, ModelRequestOutcome outcome) {
        mAsked.remove(asked.entry() + asked.model());
        if (outcome instanceof ModelRequestOutcome.TooLate) {
            mWaiting.getOrDefault(asked.model(), new ArrayList<>())
                    .removeIf(call -> call.entry() == asked.entry() && refuse(call));
        }
    }

    private boolean refuse(Call call) {
        FleetFigures.Counts counts = counts(call.isRare(), call.arrivedMillis());
        counts.mRefused++;
        counts.mRefusedLater += now() - call.arrivedMillis() > 1_000 ? 1 : 0;
        return true;
    }

    private void reportUsage(long now) {
        mRates.forEach(
                (entry, rates) ->
                        mController
                                .demand()
                                .recordReport("entry" + entry, usage(entry, rates, now), now));
    }

    /** Returns the usage of an entry; the first one tells of the active calls of all. */
    private ModelUsage.Snapshot usage(int entry, Map<String, double[]> ownRates, long now) {
        Map<String, ModelRate> rates = new HashMap<>();
        ownRates.forEach(
                (model, rate) -> {
                    // The share of a constant rate's decayed calls that the time so far holds.
                    double observed = 1 - Math.pow(0.5, Math.max(500, now) / RATE_HALF_LIFE_MILLIS);
                    double perSecond = decayed(rate, now) * Math.log(2) / 3 / observed;
                    FleetScenario.Kind kind =
                            model.startsWith("r") ? mScenario.rare() : mScenario.popular();
                    if (perSecond > MIN_RATE) {
                        rates.put(model, new ModelRate(perSecond, kind.objective()));
                    }
                });
        return new ModelUsage.Snapshot(entry == 0 ? activeCalls(now) : List.of(), rates);
    }

    private List<ModelUsage.ActiveCalls> activeCalls(long now) {
        List<ModelUsage.ActiveCalls> active = new ArrayList<>();
        mEngines.forEach(
                (id, engine) ->
                        engine.calls()
                                .forEach(
                                        (model, count) ->
                                                active.add(
                                                        new ModelUsage.ActiveCalls(
                                                                id,
                                                                new ModelTarget(model, ""),
                                                                count,
                                                                remaining(id, model, now)))));
        return active;
    }

    private long remaining(String engine, String model, long now) {
        return mRunning.stream()
                .filter(call -> call.engine().equals(engine) && call.model().equals(model))
                .mapToLong(call -> call.endMillis() - now)
                .max()
                .orElse(0);
    }
}

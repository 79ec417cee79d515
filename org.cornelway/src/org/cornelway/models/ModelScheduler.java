package org.cornelway.models;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;

/**
 * Serves wishes from what the engines hold, and plans what they load next.
 *
 * <p>Answers two loads: calls that wait for a model that is nowhere, and demand that moves on, so
 * that places free up and fill again. Confined to the control thread.
 */
final class ModelScheduler {
    /** Time for which an engine that contradicted a belief is not named. */
    static final long REREAD_INTERVAL_MILLIS = 400;

    /** Time for which a model that just came stays, so that its calls arrive. */
    private static final long SETTLE_MILLIS = 500;

    /**
     * Part of an engine's slots that calls with one model may take before another helps: what else
     * the engine holds shares its batch and may be slower.
     */
    private static final double REPLICA_SHARE = 0.45;

    /** Time that a call usually takes on an engine. */
    private static final double CALL_SECONDS = 1;

    /** Calls a second from which a model keeps a spare replica: an engine may be lost any time. */
    private static final double SPARE_RATE = 5;

    /** Loads from the store ahead of calls; the store's other places are for calls that wait. */
    private static final int FETCHES_AT_ONCE = 2;

    /** Copies at hand that a model should have, so that more than one engine can take it. */
    private static final int COPIES_WANTED = 2;

    /** A place that calls keep for longer is no place for one more replica. */
    private static final long SPREAD_DRAIN_MILLIS = 1_500;

    /** Time that a load must gain if it is to move to another engine. */
    private static final long MOVE_MILLIS = 250;

    /** Calls a second that a model which is nowhere is taken to have, to fill a free place. */
    private static final double IDLE_RATE = 0.05;

    private final LoadPlanner mPlanner;
    private final DemandTable mDemand;
    private final AdapterScheduler mAdapters;
    private final int mStoreLoads;
    private final Map<ServerIncarnation, Map<String, Long>> mGrantedMillis = new HashMap<>();
    private Deadline mKeepAll = new Deadline(0);

    ModelScheduler(LoadPlanner planner, DemandTable demand, int storeLoads) {
        mPlanner = planner;
        mDemand = demand;
        mAdapters = new AdapterScheduler(demand);
        mStoreLoads = storeLoads;
    }

    /** Displaces nothing until then. */
    void suspendEvictionUntil(Deadline deadline) {
        mKeepAll = deadline;
    }

    /** The answer to a wish, or empty while it is on its way. */
    Optional<ModelRequestOutcome> findOrLoad(
            ModelRequest wish,
            ReplicaCounts census,
            List<EngineDriver> engines,
            Optional<EngineDefinition> definition,
            long nowMillis) {
        ModelTarget target = wish.target();
        Optional<ModelDefinition> model =
                definition.flatMap(d -> Optional.ofNullable(d.models().get(target.model())));
        if (model.isEmpty()) {
            return Optional.of(new ModelRequestOutcome.TooLate(0));
        }
        List<EngineDriver> holders =
                engines.stream()
                        .filter(EngineDriver::isStateCurrent)
                        .filter(e -> e.models().containsKey(target.model()))
                        .filter(e -> !e.isUnloading(target.model()))
                        .toList();
        if (!holders.isEmpty()) {
            return target.hasAdapter()
                    ? mAdapters
                            .findOrLoad(target, model.get(), holders, definition.get(), nowMillis)
                            .map(engine -> held(engine, target, nowMillis))
                    : Optional.of(held(lightest(holders, nowMillis), target, nowMillis));
        }
        return load(wish, model.get(), census, engines, definition.get(), nowMillis);
    }

    private EngineDriver lightest(List<EngineDriver> engines, long nowMillis) {
        return engines.stream()
                .min(
                        Comparator.comparingInt(
                                engine -> mDemand.active(engine.server().id(), nowMillis)))
                .orElseThrow();
    }

    private ModelRequestOutcome held(EngineDriver engine, ModelTarget target, long nowMillis) {
        mGrantedMillis
                .computeIfAbsent(engine.server().incarnation(), life -> new HashMap<>())
                .put(target.model(), nowMillis);
        return new ModelRequestOutcome.Held(engine.server().incarnation());
    }

    private Optional<ModelRequestOutcome> load(
            ModelRequest wish,
            ModelDefinition model,
            ReplicaCounts census,
            List<EngineDriver> engines,
            EngineDefinition definition,
            long nowMillis) {
        Optional<EngineDriver> loading =
                engines.stream()
                        .filter(engine -> engine.isLoading(model.name()))
                        .min(Comparator.comparingLong(engine -> engine.readyMillis(nowMillis)));
        Optional<LoadPlan> plan = Optional.empty();
        if (loading.isEmpty() || mayMove(loading.get(), model.name(), nowMillis)) {
            plan =
                    plan(model, Optional.of(wish), census, engines, definition, nowMillis)
                            .filter(p -> p.waitMillis() == 0 || !census.awaitsFirstReport());
        }
        if (loading.isPresent()) {
            long ready = loading.get().readyMillis(nowMillis);
            Optional<LoadPlan> sooner =
                    plan.filter(p -> p.waitMillis() == 0 && p.isWorthwhile())
                            .filter(p -> nowMillis + p.totalMillis() + MOVE_MILLIS < ready);
            if (sooner.isEmpty()) {
                return answer(wish, ready, nowMillis);
            }
            loading.get().orderQueue().cancelQueuedLoad(model.name());
            plan = sooner;
        }
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        if (plan.get().waitMillis() == 0 && plan.get().isWorthwhile()) {
            begin(plan.get(), model, engines);
        }
        return answer(wish, nowMillis + plan.get().totalMillis(), nowMillis);
    }

    /** Whether a load may still go to another engine: the place for it is not free yet. */
    private static boolean mayMove(EngineDriver engine, String model, long nowMillis) {
        return engine.orderQueue().isLoadQueued(model)
                && engine.readyMillis(nowMillis) - nowMillis > MOVE_MILLIS;
    }

    private static Optional<ModelRequestOutcome> answer(
            ModelRequest wish, long readyMillis, long nowMillis) {
        return wish.deadline().isPast(readyMillis)
                ? Optional.of(new ModelRequestOutcome.TooLate(readyMillis - nowMillis))
                : Optional.empty();
    }

    private Optional<LoadPlan> plan(
            ModelDefinition model,
            Optional<ModelRequest> wish,
            ReplicaCounts census,
            List<EngineDriver> engines,
            EngineDefinition definition,
            long nowMillis) {
        boolean store = !census.awaitsFirstReport() && census.storeReads() < mStoreLoads;
        List<EngineView> views =
                engines.stream()
                        .filter(EngineDriver::isKnown)
                        .filter(engine -> !engine.models().containsKey(model.name()))
                        .filter(engine -> !engine.isLoading(model.name()))
                        .map(engine -> view(engine, census, definition, nowMillis))
                        .toList();
        boolean displacing = mKeepAll.isPast(nowMillis);
        ModelRate rate = mDemand.rate(model.name(), nowMillis);
        LoadRequest request =
                new LoadRequest(
                        model,
                        store,
                        rate,
                        wish.map(ModelRequest::waitingCalls).orElse(0),
                        wish.map(w -> nowMillis - w.firstArrivalMillis()).orElse(0L));
        return mPlanner.plan(request, views).filter(plan -> displacing || plan.evict().isEmpty());
    }

    private static void begin(LoadPlan plan, ModelDefinition model, List<EngineDriver> engines) {
        EngineDriver engine =
                engines.stream()
                        .filter(each -> each.server().incarnation().equals(plan.engine()))
                        .findFirst()
                        .orElseThrow();
        for (String victim : plan.evict()) {
            engine.enqueue(
                    new PlannedOrder(
                            false,
                            victim,
                            Optional.empty(),
                            0,
                            Math.max(EngineDriver.UNLOAD_MILLIS, plan.drainMillis()),
                            WeightSource.MEMORY));
        }
        engine.enqueue(
                new PlannedOrder(
                        true,
                        model.name(),
                        Optional.empty(),
                        model.megabytes(),
                        plan.loadMillis(),
                        plan.source()));
    }

    private EngineView view(
            EngineDriver engine,
            ReplicaCounts census,
            EngineDefinition definition,
            long nowMillis) {
        Map<String, ModelView> models = new HashMap<>();
        String server = engine.server().id();
        engine.models()
                .forEach(
                        (name, adapters) -> {
                            ModelDefinition model = definition.models().get(name);
                            if (model != null) {
                                models.put(
                                        name,
                                        new ModelView(
                                                model.megabytes()
                                                        + adapters.count()
                                                                * model.adapterMegabytes(),
                                                mDemand.active(server, name, nowMillis),
                                                mDemand.remainingMillis(server, name, nowMillis),
                                                mDemand.rate(name, nowMillis),
                                                census.replicas(name),
                                                needed(name, definition, nowMillis),
                                                isPinned(engine, name, census, nowMillis),
                                                model.diskLoadMillis()));
                            }
                        });
        return new EngineView(
                engine.server().incarnation(),
                EngineMemory.freeMegabytes(engine, definition),
                engine.waitMillis(nowMillis),
                models,
                engine.cachedWeights().inMemory(),
                engine.cachedWeights().onDisk(),
                census.soleCopies(engine.cachedWeights().onDisk()),
                mDemand.active(server, nowMillis));
    }

    private boolean isPinned(
            EngineDriver engine, String model, ReplicaCounts census, long nowMillis) {
        long granted =
                mGrantedMillis
                        .getOrDefault(engine.server().incarnation(), Map.of())
                        .getOrDefault(model, Long.MIN_VALUE / 2);
        return nowMillis - granted < SETTLE_MILLIS || census.isRequested(model);
    }

    /** Engines that the calls with a model need: those under way, or expected by their rate. */
    private int needed(String model, EngineDefinition definition, long nowMillis) {
        double rate = mDemand.rate(model, nowMillis).callsPerSecond();
        double calls = Math.max(mDemand.activeOnAllServers(model, nowMillis), rate * CALL_SECONDS);
        double each = Math.max(1, definition.slots() * REPLICA_SHARE);
        int least = rate >= SPARE_RATE ? 2 : 1;
        return Math.max(least, (int) Math.ceil(calls / each));
    }

    /**
     * Loads models on more engines whose calls crowd those that hold them. An engine that is free
     * now goes before one with a copy at hand that is not.
     */
    void addReplicas(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts census,
            long nowMillis) {
        List<EngineDriver> idle = engines.stream().filter(EngineDriver::isIdle).toList();
        for (ModelDefinition model : definition.models().values()) {
            int replicas = census.replicas(model.name());
            boolean coming = engines.stream().anyMatch(e -> e.isLoading(model.name()));
            if (replicas > 0 && !coming && replicas < needed(model.name(), definition, nowMillis)) {
                plan(model, Optional.empty(), census, idle, definition, nowMillis)
                        .filter(LoadPlan::isWorthwhile)
                        .filter(plan -> plan.drainMillis() <= SPREAD_DRAIN_MILLIS)
                        .ifPresent(plan -> begin(plan, model, engines));
            }
        }
    }

    /**
     * Makes copies of models that few engines have at hand, before calls ask: all of the store's
     * places serve this while no calls come, fewer later.
     */
    void prefetchFromStore(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts census,
            long nowMillis) {
        int most = mDemand.isIdle(nowMillis) ? mStoreLoads : FETCHES_AT_ONCE;
        if (census.hasRequests() || census.storeReads() >= most || census.awaitsFirstReport()) {
            return;
        }
        definition.models().values().stream()
                .filter(model -> census.enginesWithCopy(model.name()) < COPIES_WANTED)
                .min(Comparator.comparingInt(model -> census.enginesWithCopy(model.name())))
                .ifPresent(
                        model ->
                                plan(
                                                model,
                                                Optional.empty(),
                                                census,
                                                engines,
                                                definition,
                                                nowMillis)
                                        .filter(
                                                plan ->
                                                        plan.totalMillis()
                                                                <= model.storeLoadMillis())
                                        .filter(plan -> plan.source() == WeightSource.STORE)
                                        .ifPresent(plan -> begin(plan, model, engines)));
    }

    /** Fills free places with what is asked for most, from copies at hand. */
    void fillFreeMemory(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts census,
            long nowMillis) {
        for (EngineDriver engine : engines) {
            double free = EngineMemory.freeMegabytes(engine, definition);
            if (!engine.isIdle() || free <= 0) {
                continue;
            }
            EngineView view = view(engine, census, definition, nowMillis);
            definition.models().values().stream()
                    .filter(model -> model.megabytes() <= free)
                    .filter(model -> !engine.models().containsKey(model.name()))
                    .filter(m -> CheapestLoadPlanner.source(m.name(), view) != WeightSource.STORE)
                    .max(Comparator.comparingDouble(m -> gain(m.name(), census, nowMillis)))
                    .ifPresent(
                            model -> {
                                WeightSource source =
                                        CheapestLoadPlanner.source(model.name(), view);
                                long millis = CheapestLoadPlanner.loadMillis(model, source);
                                begin(
                                        new LoadPlan(
                                                view.incarnation(),
                                                List.of(),
                                                source,
                                                0,
                                                0,
                                                millis,
                                                true),
                                        model,
                                        engines);
                            });
        }
    }

    private double gain(String model, ReplicaCounts census, long nowMillis) {
        int replicas = census.replicas(model);
        double rate = mDemand.rate(model, nowMillis).callsPerSecond() + IDLE_RATE;
        return rate / (1.0 + replicas * (double) replicas * 2);
    }
}

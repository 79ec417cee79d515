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
 * Finds engines for model requests, and plans what the engines load next.
 *
 * <p>Loads models that calls wait for, additional replicas that calls need, models with few cached
 * copies, and models that fit into free memory. Confined to the control thread.
 */
final class ModelScheduler {
    /** Minimum interval between rereads of an engine's report that entries found to be wrong. */
    static final long REREAD_INTERVAL_MILLIS = 400;

    /**
     * Minimum time that a model stays loaded on an engine after a request was last answered with
     * that engine, so that the waiting calls arrive before the model is evicted.
     */
    private static final long MIN_RESIDENT_MILLIS = 500;

    /**
     * Share of an engine's slots that the calls to one model may take before another replica is
     * needed. The engine runs calls to its other models in the same batch, and these may be slower.
     */
    private static final double SLOT_SHARE_PER_REPLICA = 0.45;

    /** Typical duration of a call; converts a call rate to a number of concurrent calls. */
    private static final double CALL_SECONDS = 1;

    /** Call rate from which a model needs two replicas, since an engine may be lost at any time. */
    private static final double SPARE_REPLICA_CALLS_PER_SECOND = 5;

    /**
     * While there are calls, no prefetch begins if this many loads from the checkpoint store are in
     * progress; the remaining loads are reserved for models that calls wait for.
     */
    private static final int MAX_PREFETCHES = 2;

    /** Engines that should have a copy of a model, so that more than one can load it fast. */
    private static final int MIN_COPIES = 2;

    /** Longest time that an additional replica may wait for calls to evicted models to end. */
    private static final long MAX_REPLICA_DRAIN_MILLIS = 1_500;

    /** A queued load is moved to another engine only if it ends this much sooner there. */
    private static final long MIN_MOVE_GAIN_MILLIS = 250;

    /** Added to each model's call rate when free memory is filled, so that idle models load too. */
    private static final double BASE_CALLS_PER_SECOND = 0.05;

    private final LoadPlanner mPlanner;
    private final DemandTable mDemand;
    private final AdapterScheduler mAdapterScheduler;
    private final int mMaxStoreLoads;
    private final Map<ServerIncarnation, Map<String, Long>> mLastAnsweredMillis = new HashMap<>();
    private Deadline mEvictionsSuspendedUntil = new Deadline(0);

    ModelScheduler(LoadPlanner planner, DemandTable demand, int maxStoreLoads) {
        mPlanner = planner;
        mDemand = demand;
        mAdapterScheduler = new AdapterScheduler(demand);
        mMaxStoreLoads = maxStoreLoads;
    }

    /** Until a deadline, plans no load that evicts a model. */
    void suspendEvictionUntil(Deadline deadline) {
        mEvictionsSuspendedUntil = deadline;
    }

    /**
     * Returns the outcome of a request, or empty while the request is pending. Plans a load if no
     * engine holds the target.
     */
    Optional<ModelRequestOutcome> findOrLoad(
            ModelRequest request,
            ReplicaCounts counts,
            List<EngineDriver> engines,
            Optional<EngineDefinition> definition,
            long nowMillis) {
        ModelTarget target = request.target();
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
                    ? mAdapterScheduler
                            .findOrLoad(target, model.get(), holders, definition.get(), nowMillis)
                            .map(engine -> answerWith(engine, target, nowMillis))
                    : Optional.of(answerWith(leastBusy(holders, nowMillis), target, nowMillis));
        }
        return planLoad(request, model.get(), counts, engines, definition.get(), nowMillis);
    }

    private EngineDriver leastBusy(List<EngineDriver> engines, long nowMillis) {
        return engines.stream()
                .min(
                        Comparator.comparingInt(
                                engine -> mDemand.activeCalls(engine.server().id(), nowMillis)))
                .orElseThrow();
    }

    private ModelRequestOutcome answerWith(
            EngineDriver engine, ModelTarget target, long nowMillis) {
        mLastAnsweredMillis
                .computeIfAbsent(engine.server().incarnation(), incarnation -> new HashMap<>())
                .put(target.model(), nowMillis);
        return new ModelRequestOutcome.Held(engine.server().incarnation());
    }

    /**
     * Finds or plans a load. A plan that cannot begin now is considered only after the first report
     * of each engine, since an engine that has not reported yet may hold the model.
     */
    private Optional<ModelRequestOutcome> planLoad(
            ModelRequest request,
            ModelDefinition model,
            ReplicaCounts counts,
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
                    plan(model, Optional.of(request), counts, engines, definition, nowMillis)
                            .filter(p -> p.waitMillis() == 0 || !counts.awaitsFirstReport());
        }
        if (loading.isPresent()) {
            long readyMillis = loading.get().readyMillis(nowMillis);
            Optional<LoadPlan> soonerPlan =
                    plan.filter(p -> p.waitMillis() == 0 && p.isWorthwhile())
                            .filter(
                                    p ->
                                            nowMillis + p.totalMillis() + MIN_MOVE_GAIN_MILLIS
                                                    < readyMillis);
            if (soonerPlan.isEmpty()) {
                return tooLateOrPending(request, readyMillis, nowMillis);
            }
            loading.get().orderQueue().cancelQueuedLoad(model.name());
            plan = soonerPlan;
        }
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        if (plan.get().waitMillis() == 0 && plan.get().isWorthwhile()) {
            enqueue(plan.get(), model, engines);
        }
        return tooLateOrPending(request, nowMillis + plan.get().totalMillis(), nowMillis);
    }

    /** Whether a load may move to another engine: it is queued and not expected to end soon. */
    private static boolean mayMove(EngineDriver engine, String model, long nowMillis) {
        return engine.orderQueue().isLoadQueued(model)
                && engine.readyMillis(nowMillis) - nowMillis > MIN_MOVE_GAIN_MILLIS;
    }

    private static Optional<ModelRequestOutcome> tooLateOrPending(
            ModelRequest request, long readyMillis, long nowMillis) {
        return request.deadline().isPast(readyMillis)
                ? Optional.of(new ModelRequestOutcome.TooLate(readyMillis - nowMillis))
                : Optional.empty();
    }

    private Optional<LoadPlan> plan(
            ModelDefinition model,
            Optional<ModelRequest> modelRequest,
            ReplicaCounts counts,
            List<EngineDriver> engines,
            EngineDefinition definition,
            long nowMillis) {
        boolean storeAllowed = !counts.awaitsFirstReport() && counts.storeReads() < mMaxStoreLoads;
        List<EngineView> views =
                engines.stream()
                        .filter(EngineDriver::isStateKnown)
                        .filter(engine -> !engine.models().containsKey(model.name()))
                        .filter(engine -> !engine.isLoading(model.name()))
                        .map(engine -> engineView(engine, counts, definition, nowMillis))
                        .toList();
        boolean mayEvict = mEvictionsSuspendedUntil.isPast(nowMillis);
        ModelRate rate = mDemand.rate(model.name(), nowMillis);
        LoadRequest request =
                new LoadRequest(
                        model,
                        storeAllowed,
                        rate,
                        modelRequest.map(ModelRequest::mergedRequests).orElse(0),
                        modelRequest.map(r -> nowMillis - r.firstArrivalMillis()).orElse(0L));
        return mPlanner.plan(request, views).filter(plan -> mayEvict || plan.victims().isEmpty());
    }

    private static void enqueue(LoadPlan plan, ModelDefinition model, List<EngineDriver> engines) {
        EngineDriver engine =
                engines.stream()
                        .filter(each -> each.server().incarnation().equals(plan.engine()))
                        .findFirst()
                        .orElseThrow();
        for (String victim : plan.victims()) {
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
                        model.weightsMegabytes(),
                        plan.loadMillis(),
                        plan.source()));
    }

    private EngineView engineView(
            EngineDriver engine,
            ReplicaCounts counts,
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
                                                model.weightsMegabytes()
                                                        + adapters.count()
                                                                * model.adapterMegabytes(),
                                                mDemand.activeCalls(server, name, nowMillis),
                                                mDemand.remainingMillis(server, name, nowMillis),
                                                mDemand.rate(name, nowMillis),
                                                counts.replicas(name),
                                                neededReplicas(name, definition, nowMillis),
                                                isPinned(engine, name, counts, nowMillis),
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
                counts.soleCopies(engine.cachedWeights().onDisk()),
                mDemand.activeCalls(server, nowMillis));
    }

    private boolean isPinned(
            EngineDriver engine, String model, ReplicaCounts counts, long nowMillis) {
        long lastAnsweredMillis =
                mLastAnsweredMillis
                        .getOrDefault(engine.server().incarnation(), Map.of())
                        // Half the minimum, so that the subtraction below cannot overflow.
                        .getOrDefault(model, Long.MIN_VALUE / 2);
        return nowMillis - lastAnsweredMillis < MIN_RESIDENT_MILLIS || counts.isRequested(model);
    }

    /**
     * Returns the number of replicas that a model needs for its active calls, or for the calls
     * expected from its rate if these are more.
     */
    private int neededReplicas(String model, EngineDefinition definition, long nowMillis) {
        double rate = mDemand.rate(model, nowMillis).callsPerSecond();
        double calls = Math.max(mDemand.totalActiveCalls(model, nowMillis), rate * CALL_SECONDS);
        double callsPerReplica = Math.max(1, definition.slots() * SLOT_SHARE_PER_REPLICA);
        int minimum = rate >= SPARE_REPLICA_CALLS_PER_SECOND ? 2 : 1;
        return Math.max(minimum, (int) Math.ceil(calls / callsPerReplica));
    }

    /**
     * Plans replicas of models that have fewer than their calls need. Considers only engines that
     * can begin now: an engine that is free now is preferred to a busy one with a cached copy.
     */
    void addReplicas(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts counts,
            long nowMillis) {
        List<EngineDriver> available =
                engines.stream().filter(EngineDriver::acceptsModelOrders).toList();
        for (ModelDefinition model : definition.models().values()) {
            int replicas = counts.replicas(model.name());
            boolean isLoading = engines.stream().anyMatch(e -> e.isLoading(model.name()));
            if (replicas > 0
                    && !isLoading
                    && replicas < neededReplicas(model.name(), definition, nowMillis)) {
                plan(model, Optional.empty(), counts, available, definition, nowMillis)
                        .filter(LoadPlan::isWorthwhile)
                        .filter(plan -> plan.drainMillis() <= MAX_REPLICA_DRAIN_MILLIS)
                        .ifPresent(plan -> enqueue(plan, model, engines));
            }
        }
    }

    /**
     * Plans to load the model with the fewest copies from the checkpoint store before calls request
     * it, if it has fewer than {@link #MIN_COPIES} and the load can begin at once. Plans none while
     * calls wait for a model, before the first report of each engine, or while {@link
     * #MAX_PREFETCHES} loads ({@code mMaxStoreLoads} if there are no calls) read the store.
     */
    void prefetchFromStore(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts counts,
            long nowMillis) {
        int limit = mDemand.isIdle(nowMillis) ? mMaxStoreLoads : MAX_PREFETCHES;
        if (counts.hasRequests() || counts.storeReads() >= limit || counts.awaitsFirstReport()) {
            return;
        }
        definition.models().values().stream()
                .filter(model -> counts.enginesWithCopy(model.name()) < MIN_COPIES)
                .min(Comparator.comparingInt(model -> counts.enginesWithCopy(model.name())))
                .ifPresent(
                        model ->
                                plan(
                                                model,
                                                Optional.empty(),
                                                counts,
                                                engines,
                                                definition,
                                                nowMillis)
                                        .filter(
                                                plan ->
                                                        plan.totalMillis()
                                                                <= model.storeLoadMillis())
                                        .filter(plan -> plan.source() == WeightSource.STORE)
                                        .ifPresent(plan -> enqueue(plan, model, engines)));
    }

    /** Loads a cached model into each engine's free memory; prefers high rates and few replicas. */
    void fillFreeMemory(
            List<EngineDriver> engines,
            EngineDefinition definition,
            ReplicaCounts counts,
            long nowMillis) {
        for (EngineDriver engine : engines) {
            double free = EngineMemory.freeMegabytes(engine, definition);
            if (!engine.acceptsModelOrders() || free <= 0) {
                continue;
            }
            EngineView view = engineView(engine, counts, definition, nowMillis);
            definition.models().values().stream()
                    .filter(model -> model.weightsMegabytes() <= free)
                    .filter(model -> !engine.models().containsKey(model.name()))
                    .filter(m -> CheapestLoadPlanner.source(m.name(), view) != WeightSource.STORE)
                    .max(Comparator.comparingDouble(m -> fillPriority(m.name(), counts, nowMillis)))
                    .ifPresent(
                            model -> {
                                WeightSource source =
                                        CheapestLoadPlanner.source(model.name(), view);
                                long millis = CheapestLoadPlanner.loadMillis(model, source);
                                enqueue(
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

    private double fillPriority(String model, ReplicaCounts counts, long nowMillis) {
        int replicas = counts.replicas(model);
        double rate = mDemand.rate(model, nowMillis).callsPerSecond() + BASE_CALLS_PER_SECOND;
        return rate / (1.0 + replicas * (double) replicas * 2);
    }
}

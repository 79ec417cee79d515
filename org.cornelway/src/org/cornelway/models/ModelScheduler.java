package org.cornelway.models;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.ModelDefinition;
import org.cornelway.time.Deadline;
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
    Optional<ModelRequestOutcome> findOrLoad(ModelRequest request, SchedulingRound round) {
        ModelTarget target = request.target();
        ModelDefinition model = round.definition().models().get(target.model());
        if (model == null) {
            return Optional.of(new ModelRequestOutcome.TooLate(0));
        }
        List<EngineDriver> holders =
                round.holders(target.model()).stream()
                        .filter(EngineDriver::isStateCurrent)
                        .filter(e -> !e.isUnloading(target.model()))
                        .toList();
        if (holders.isEmpty()) {
            return planLoad(request, model, round);
        }
        long now = round.nowMillis();
        return target.hasAdapter()
                ? mAdapterScheduler
                        .findOrLoad(target, model, holders, round)
                        .map(engine -> answerWith(engine, target, now))
                : Optional.of(answerWith(leastBusy(holders, now), target, now));
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
            ModelRequest request, ModelDefinition model, SchedulingRound round) {
        long now = round.nowMillis();
        Optional<EngineDriver> loading =
                round.loaders(model.name()).stream()
                        .min(Comparator.comparingLong(engine -> engine.readyMillis(now)));
        if (loading.isPresent()) {
            long readyMillis = loading.get().readyMillis(now);
            Optional<LoadPlan> soonerPlan = planSoonerLoad(request, model, loading.get(), round);
            if (soonerPlan.isEmpty()) {
                return tooLateOrPending(request, readyMillis, now);
            }
            round.cancelQueuedLoad(loading.get(), model.name());
            enqueue(soonerPlan.get(), model, round);
            return tooLateOrPending(request, now + soonerPlan.get().totalMillis(), now);
        }
        Optional<LoadPlan> plan = planFor(request, model, round);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        if (plan.get().waitMillis() == 0 && plan.get().isWorthwhile()) {
            enqueue(plan.get(), model, round);
        }
        return tooLateOrPending(request, now + plan.get().totalMillis(), now);
    }

    private Optional<LoadPlan> planFor(
            ModelRequest request, ModelDefinition model, SchedulingRound round) {
        return plan(model, Optional.of(request), round.engines(), round)
                .filter(p -> p.waitMillis() == 0 || !round.awaitsFirstReport());
    }

    /** Returns a plan that can begin now and ends sooner than a load that is still queued. */
    private Optional<LoadPlan> planSoonerLoad(
            ModelRequest request,
            ModelDefinition model,
            EngineDriver loading,
            SchedulingRound round) {
        long now = round.nowMillis();
        if (!mayMove(loading, model.name(), now)) {
            return Optional.empty();
        }
        long latestMillis = loading.readyMillis(now) - MIN_MOVE_GAIN_MILLIS;
        return planFor(request, model, round)
                .filter(p -> p.waitMillis() == 0 && p.isWorthwhile())
                .filter(p -> now + p.totalMillis() < latestMillis);
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

    /**
     * @param candidates engines that the plan may use
     */
    private Optional<LoadPlan> plan(
            ModelDefinition model,
            Optional<ModelRequest> modelRequest,
            List<EngineDriver> candidates,
            SchedulingRound round) {
        long now = round.nowMillis();
        boolean storeAllowed = !round.awaitsFirstReport() && round.storeReads() < mMaxStoreLoads;
        List<EngineDriver> holders = round.holders(model.name());
        List<EngineDriver> loaders = round.loaders(model.name());
        List<EngineView> views =
                candidates.stream()
                        .filter(EngineDriver::isStateKnown)
                        .filter(engine -> !holders.contains(engine) && !loaders.contains(engine))
                        .map(engine -> view(engine, round))
                        .toList();
        boolean mayEvict = mEvictionsSuspendedUntil.isPast(now);
        LoadRequest request =
                new LoadRequest(
                        model,
                        storeAllowed,
                        mDemand.rate(model.name(), now),
                        modelRequest.map(ModelRequest::mergedRequests).orElse(0),
                        modelRequest.map(r -> now - r.firstArrivalMillis()).orElse(0L));
        return mPlanner.plan(request, views).filter(plan -> mayEvict || plan.victims().isEmpty());
    }

    private static void enqueue(LoadPlan plan, ModelDefinition model, SchedulingRound round) {
        EngineDriver engine =
                round.engines().stream()
                        .filter(each -> each.server().incarnation().equals(plan.engine()))
                        .findFirst()
                        .orElseThrow();
        for (String victim : plan.victims()) {
            round.enqueue(
                    engine,
                    new PlannedOrder(
                            false,
                            victim,
                            Optional.empty(),
                            0,
                            Math.max(EngineDriver.UNLOAD_MILLIS, plan.drainMillis()),
                            WeightSource.MEMORY));
        }
        round.enqueue(
                engine,
                new PlannedOrder(
                        true,
                        model.name(),
                        Optional.empty(),
                        model.weightsMegabytes(),
                        plan.loadMillis(),
                        plan.source()));
    }

    private EngineView view(EngineDriver engine, SchedulingRound round) {
        return round.view(engine, each -> newView(each, round));
    }

    private EngineView newView(EngineDriver engine, SchedulingRound round) {
        long now = round.nowMillis();
        Map<String, ModelView> models = new HashMap<>();
        engine.models()
                .forEach(
                        (name, adapters) -> {
                            ModelDefinition model = round.definition().models().get(name);
                            if (model != null) {
                                models.put(name, newView(engine, model, adapters.count(), round));
                            }
                        });
        return new EngineView(
                engine.server().incarnation(),
                EngineMemory.freeMegabytes(engine, round.definition()),
                engine.waitMillis(now),
                models,
                engine.cachedWeights().inMemory(),
                engine.cachedWeights().onDisk(),
                round.soleCopies(engine.cachedWeights().onDisk()),
                mDemand.activeCalls(engine.server().id(), now));
    }

    private ModelView newView(
            EngineDriver engine, ModelDefinition model, int adapterCount, SchedulingRound round) {
        long now = round.nowMillis();
        String server = engine.server().id();
        String name = model.name();
        return new ModelView(
                model.weightsMegabytes() + adapterCount * model.adapterMegabytes(),
                mDemand.activeCalls(server, name, now),
                mDemand.remainingMillis(server, name, now),
                mDemand.rate(name, now),
                round.replicas(name),
                neededReplicas(name, round),
                isPinned(engine, name, round),
                model.diskLoadMillis());
    }

    private boolean isPinned(EngineDriver engine, String model, SchedulingRound round) {
        long lastAnsweredMillis =
                mLastAnsweredMillis
                        .getOrDefault(engine.server().incarnation(), Map.of())
                        // Half the minimum, so that the subtraction below cannot overflow.
                        .getOrDefault(model, Long.MIN_VALUE / 2);
        return round.nowMillis() - lastAnsweredMillis < MIN_RESIDENT_MILLIS
                || round.isRequested(model);
    }

    /**
     * Returns the number of replicas that a model needs for its active calls, or for the calls
     * expected from its rate if these are more.
     */
    private int neededReplicas(String model, SchedulingRound round) {
        long nowMillis = round.nowMillis();
        double rate = mDemand.rate(model, nowMillis).callsPerSecond();
        double calls = Math.max(mDemand.totalActiveCalls(model, nowMillis), rate * CALL_SECONDS);
        double callsPerReplica = Math.max(1, round.definition().slots() * SLOT_SHARE_PER_REPLICA);
        int minimum = rate >= SPARE_REPLICA_CALLS_PER_SECOND ? 2 : 1;
        return Math.max(minimum, (int) Math.ceil(calls / callsPerReplica));
    }

    /**
     * Plans replicas of models that have fewer than their calls need. Considers only engines that
     * can begin now: an engine that is free now is preferred to a busy one with a cached copy.
     */
    void addReplicas(SchedulingRound round) {
        List<EngineDriver> available =
                round.engines().stream().filter(EngineDriver::acceptsModelOrders).toList();
        if (available.isEmpty()) {
            return;
        }
        for (ModelDefinition model : round.definition().models().values()) {
            int replicas = round.replicas(model.name());
            if (replicas > 0
                    && round.loaders(model.name()).isEmpty()
                    && replicas < neededReplicas(model.name(), round)) {
                plan(model, Optional.empty(), available, round)
                        .filter(LoadPlan::isWorthwhile)
                        .filter(plan -> plan.drainMillis() <= MAX_REPLICA_DRAIN_MILLIS)
                        .ifPresent(plan -> enqueue(plan, model, round));
            }
        }
    }

    /**
     * Plans to load the model with the fewest copies from the checkpoint store before calls request
     * it, if it has fewer than {@link #MIN_COPIES} and the load can begin at once. Plans none while
     * calls wait for a model, before the first report of each engine, or while {@link
     * #MAX_PREFETCHES} loads ({@code mMaxStoreLoads} if there are no calls) read the store.
     */
    void prefetchFromStore(SchedulingRound round) {
        int limit = mDemand.isIdle(round.nowMillis()) ? mMaxStoreLoads : MAX_PREFETCHES;
        if (round.hasRequests() || round.storeReads() >= limit || round.awaitsFirstReport()) {
            return;
        }
        round.definition().models().values().stream()
                .filter(model -> round.enginesWithCopy(model.name()) < MIN_COPIES)
                .min(Comparator.comparingInt(model -> round.enginesWithCopy(model.name())))
                .ifPresent(
                        model ->
                                plan(model, Optional.empty(), round.engines(), round)
                                        .filter(p -> p.totalMillis() <= model.storeLoadMillis())
                                        .filter(p -> p.source() == WeightSource.STORE)
                                        .ifPresent(p -> enqueue(p, model, round)));
    }

    /** Loads a cached model into each engine's free memory; prefers high rates and few replicas. */
    void fillFreeMemory(SchedulingRound round) {
        double smallestMegabytes =
                round.definition().models().values().stream()
                        .mapToDouble(ModelDefinition::weightsMegabytes)
                        .min()
                        .orElse(Double.MAX_VALUE);
        for (EngineDriver engine : round.engines()) {
            double free = EngineMemory.freeMegabytes(engine, round.definition());
            if (engine.acceptsModelOrders() && free >= smallestMegabytes) {
                fillFreeMemory(engine, free, round);
            }
        }
    }

    private void fillFreeMemory(EngineDriver engine, double free, SchedulingRound round) {
        EngineView view = view(engine, round);
        round.definition().models().values().stream()
                .filter(model -> model.weightsMegabytes() <= free)
                .filter(model -> !engine.models().containsKey(model.name()))
                .filter(m -> CheapestLoadPlanner.source(m.name(), view) != WeightSource.STORE)
                .max(Comparator.comparingDouble(m -> fillPriority(m.name(), round)))
                .ifPresent(model -> enqueue(planIntoFreeMemory(model, view), model, round));
    }

    private static LoadPlan planIntoFreeMemory(ModelDefinition model, EngineView view) {
        WeightSource source = CheapestLoadPlanner.source(model.name(), view);
        return new LoadPlan(
                view.incarnation(),
                List.of(),
                source,
                0,
                0,
                CheapestLoadPlanner.loadMillis(model, source),
                true);
    }

    private double fillPriority(String model, SchedulingRound round) {
        int replicas = round.replicas(model);
        double rate =
                mDemand.rate(model, round.nowMillis()).callsPerSecond() + BASE_CALLS_PER_SECOND;
        return rate / (1.0 + replicas * (double) replicas * 2);
    }
}

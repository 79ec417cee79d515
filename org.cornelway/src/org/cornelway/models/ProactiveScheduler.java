package org.cornelway.models;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Plans loads that no call waits for: additional replicas that calls need, models with few cached
 * copies, and models that fit into free memory. Confined to the control thread.
 */
final class ProactiveScheduler {
    /**
     * While there are calls, no prefetch begins if this many loads from the checkpoint store are in
     * progress; the remaining loads are reserved for models that calls wait for.
     */
    private static final int MAX_PREFETCHES = 2;

    /** Engines that should have a copy of a model, so that more than one can load it fast. */
    private static final int MIN_COPIES = 2;

    /** Longest time that an additional replica may wait for calls to evicted models to end. */
    private static final long MAX_REPLICA_DRAIN_MILLIS = 1_500;

    /** Added to each model's call rate when free memory is filled, so that idle models load too. */
    private static final double BASE_CALLS_PER_SECOND = 0.05;

    /**
     * Time after a request was answered with an engine during which its model counts as called,
     * although the calls may not be in the usage reports.
     */
    private static final long MIN_STAY_MILLIS = 5_000;

    /** Lowest rate of a model that counts as called; restored rates decay without reaching 0. */
    private static final double MIN_CALLS_PER_SECOND = 0.01;

    private final LoadScheduler mLoads;
    private final DemandTable mDemand;

    ProactiveScheduler(LoadScheduler loads) {
        mLoads = loads;
        mDemand = loads.demand();
    }

    /**
     * Plans one replica of each model that has fewer than its calls need, those with most calls
     * first. Considers only engines that can begin now: an engine that is free now is preferred to
     * a busy one with a cached copy. While a model is loading, plans another replica only from a
     * cached copy.
     */
    void addReplicas(SchedulingRound round) {
        List<EngineDriver> available =
                round.engines().stream().filter(EngineDriver::acceptsModelOrders).toList();
        if (available.isEmpty()) {
            return;
        }
        round.definition().models().values().stream()
                .filter(model -> mLoads.lacksReplica(model.name(), round))
                .sorted(Comparator.comparingDouble(model -> -callRate(model, round)))
                .forEach(model -> addReplica(model, available, round));
    }

    private void addReplica(
            ModelDefinition model, List<EngineDriver> available, SchedulingRound round) {
        boolean isLoading = !round.loaders(model.name()).isEmpty();
        List<EngineDriver> free =
                available.stream().filter(EngineDriver::acceptsModelOrders).toList();
        mLoads.plan(model, Optional.empty(), free, round)
                .filter(LoadPlan::isWorthwhile)
                .filter(plan -> plan.drainMillis() <= MAX_REPLICA_DRAIN_MILLIS)
                .filter(plan -> !isLoading || plan.source() != WeightSource.STORE)
                .ifPresent(plan -> mLoads.enqueue(plan, model, round));
    }

    /**
     * Plans to load the model with the fewest copies, and among these the one with the highest call
     * rate, from the checkpoint store, if it has fewer than {@link #MIN_COPIES} and the load can
     * begin at once. Calls for it may have been refused because the load takes longer than they can
     * wait. While calls wait for any model, plans only the load of a model with calls but without
     * copies. Evicts only models that {@link PrefetchEviction} allows. Plans none before the first
     * report of each engine, or while {@link #MAX_PREFETCHES} loads ({@link
     * LoadScheduler#maxStoreLoads} if there are no calls) read the store.
     */
    void prefetchFromStore(SchedulingRound round) {
        int limit = maxPrefetches(round);
        if (round.storeReads() >= limit || round.awaitsFirstReport()) {
            return;
        }
        round.definition().models().values().stream()
                .filter(model -> mayPrefetch(model, round))
                .min(
                        Comparator.comparingInt(
                                        (ModelDefinition model) ->
                                                round.enginesWithCopy(model.name()))
                                .thenComparingDouble(model -> -callRate(model, round)))
                .ifPresent(model -> prefetchFromStore(model, round));
    }

    private void prefetchFromStore(ModelDefinition model, SchedulingRound round) {
        mLoads.planPrefetch(model, (engine, name) -> mayEvict(engine, name, model, round), round)
                .filter(plan -> plan.totalMillis() <= model.storeLoadMillis())
                .filter(plan -> plan.source() == WeightSource.STORE)
                .ifPresent(plan -> mLoads.enqueue(plan, model, round));
    }

    private boolean mayEvict(
            EngineDriver engine, String evicted, ModelDefinition loaded, SchedulingRound round) {
        boolean answered =
                mLoads.wasAnsweredWithin(MIN_STAY_MILLIS, engine, evicted, round.nowMillis());
        if (mLoads.hasDeferrable() && !mLoads.isCalledLess(evicted, loaded.name(), round)) {
            return false;
        }
        return PrefetchEviction.isAllowed(
                modelUse(loaded.name(), false, round),
                modelUse(evicted, answered, round),
                engine.cachedWeights().contains(evicted));
    }

    private PrefetchEviction.ModelUse modelUse(
            String model, boolean answered, SchedulingRound round) {
        double rate = mDemand.rate(model, round.nowMillis()).callsPerSecond();
        return new PrefetchEviction.ModelUse(
                round.enginesWithCopy(model), rate, answered || rate >= MIN_CALLS_PER_SECOND);
    }

    private int maxPrefetches(SchedulingRound round) {
        int storeLoads = mLoads.maxStoreLoads();
        return mDemand.isIdle(round.nowMillis())
                ? storeLoads
                : Math.min(MAX_PREFETCHES, Math.max(1, storeLoads - 1));
    }

    private boolean mayPrefetch(ModelDefinition model, SchedulingRound round) {
        int copies = round.enginesWithCopy(model.name());
        return round.hasRequests()
                ? copies == 0 && callRate(model, round) > 0
                : copies < MIN_COPIES;
    }

    private double callRate(ModelDefinition model, SchedulingRound round) {
        return mDemand.rate(model.name(), round.nowMillis()).callsPerSecond();
    }

    /** Loads a cached model into each engine's free memory; prefers high rates and few replicas. */
    void fillFreeMemory(SchedulingRound round) {
        double smallestMegabytes =
                round.definition().models().values().stream()
                        .mapToDouble(ModelDefinition::weightsMegabytes)
                        .min()
                        .orElse(Double.MAX_VALUE);
        for (EngineDriver engine : round.loadTargets(round.engines())) {
            double free = EngineMemory.freeMegabytes(engine, round.definition());
            if (engine.acceptsModelOrders() && free >= smallestMegabytes) {
                fillFreeMemory(engine, free, round);
            }
        }
    }

    private void fillFreeMemory(EngineDriver engine, double free, SchedulingRound round) {
        EngineView view = mLoads.view(engine, round);
        round.definition().models().values().stream()
                .filter(model -> model.weightsMegabytes() <= free)
                .filter(model -> !engine.models().containsKey(model.name()))
                .filter(m -> CheapestLoadPlanner.source(m.name(), view) != WeightSource.STORE)
                .max(Comparator.comparingDouble(m -> fillPriority(m.name(), round)))
                .ifPresent(model -> mLoads.enqueue(planIntoFreeMemory(model, view), model, round));
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

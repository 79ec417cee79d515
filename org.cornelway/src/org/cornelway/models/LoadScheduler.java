package org.cornelway.models;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.ModelDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;

/**
 * Plans single loads on the engines of a round, and enqueues their orders.
 *
 * <p>Invariant: no load from the checkpoint store begins while as many as the limit are
 * outstanding. Confined to the control thread.
 */
final class LoadScheduler {
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

    private final LoadPlanner mPlanner;
    private final DemandTable mDemand;
    private final StoreLoadLimit mStoreLoads;
    private final SteadyStoreLoadLimit mSteadyLoads;
    private final DemandHistory mHistory;
    private final Map<ServerIncarnation, Map<String, Long>> mLastAnsweredMillis = new HashMap<>();
    private Deadline mEvictionsSuspendedUntil = new Deadline(0);

    LoadScheduler(
            LoadPlanner planner,
            DemandTable demand,
            StoreLoadLimit storeLoads,
            SteadyStoreLoadLimit steadyLoads,
            DeferralPolicy deferral) {
        mHistory = new DemandHistory(deferral);
        mPlanner = planner;
        mDemand = demand;
        mStoreLoads = storeLoads;
        mSteadyLoads = steadyLoads;
    }

    DemandTable demand() {
        return mDemand;
    }

    DemandHistory history() {
        return mHistory;
    }

    /** Records the present demand in the history. */
    void updateHistory(SchedulingRound round) {
        long now = round.nowMillis();
        mHistory.update(mDemand.rates(now), model -> neededReplicas(model, round), now);
    }

    /** Whether calls of any model may wait for each other. */
    boolean hasDeferrable() {
        return mHistory.hasDeferrable();
    }

    /** Returns the number of loads that may read the checkpoint store at the same time. */
    int maxStoreLoads() {
        return hasDeferrable() ? mSteadyLoads.limit() : mStoreLoads.limit();
    }

    /**
     * Returns how many of these loads may be for models that calls wait for. The others are kept
     * for replicas, as long as calls need more of a model than there are.
     */
    int maxStoreLoadsForRequests(SchedulingRound round) {
        boolean replicaMissing =
                round.definition().models().keySet().stream()
                        .anyMatch(model -> lacksReplica(model, round));
        return replicaMissing ? Math.max(1, maxStoreLoads() - 1) : maxStoreLoads();
    }

    /** Whether a model is loaded but has fewer replicas than its calls need. */
    boolean lacksReplica(String model, SchedulingRound round) {
        int replicas = round.replicas(model);
        return replicas > 0 && replicas < neededReplicas(model, round);
    }

    /** Until a deadline, plans no load that evicts a model. */
    void suspendEvictionUntil(Deadline deadline) {
        mEvictionsSuspendedUntil = deadline;
    }

    /** Records that a request was answered with an engine, where its calls now go. */
    void recordAnswer(EngineDriver engine, ModelTarget target, long nowMillis) {
        mLastAnsweredMillis
                .computeIfAbsent(engine.server().incarnation(), incarnation -> new HashMap<>())
                .put(target.model(), nowMillis);
    }

    /** Decides which models a load may evict. */
    interface EvictionRule {
        /** Returns whether an engine may evict a model that it holds. */
        boolean mayEvict(EngineDriver engine, String model);
    }

    /**
     * Plans a load of a model; empty if no candidate can load it.
     *
     * @param modelRequest the calls that wait for it; empty if none do
     * @param candidates engines that the plan may use
     */
    Optional<LoadPlan> plan(
            ModelDefinition model,
            Optional<ModelRequest> modelRequest,
            List<EngineDriver> candidates,
            SchedulingRound round) {
        int maxStoreLoads =
                modelRequest.isPresent() ? round.maxStoreLoadsForRequests(this) : maxStoreLoads();
        List<EngineView> views =
                candidates(model, candidates, round).map(engine -> view(engine, round)).toList();
        return plan(model, modelRequest, views, maxStoreLoads, round);
    }

    /**
     * Plans a load of a model that no call waits for, on any engine; empty if none can load it.
     *
     * @param rule decides which models the load may evict
     */
    Optional<LoadPlan> planPrefetch(
            ModelDefinition model, EvictionRule rule, SchedulingRound round) {
        List<EngineView> views =
                candidates(model, round.engines(), round)
                        .map(
                                engine ->
                                        view(engine, round)
                                                .withPinned(name -> !rule.mayEvict(engine, name)))
                        .toList();
        return plan(model, Optional.empty(), views, maxStoreLoads(), round);
    }

    /**
     * Plans a load of a model from a copy on an engine, for calls that may wait. Evicts no replica
     * that a recently popular model keeps.
     */
    Optional<LoadPlan> planFromCopy(
            ModelDefinition model, ModelRequest request, SchedulingRound round) {
        List<EngineView> views =
                candidates(model, round.engines(), round)
                        .filter(engine -> engine.cachedWeights().contains(model.name()))
                        .map(
                                engine ->
                                        view(engine, round)
                                                .withPinned(name -> isRetained(name, round)))
                        .toList();
        return plan(model, Optional.of(request), views, 0, round);
    }

    /** Whether a model was popular recently and has no more replicas than it keeps. */
    private boolean isRetained(String model, SchedulingRound round) {
        int retained = mHistory.retainedReplicas(model, round.nowMillis());
        return retained > 0 && round.stayingReplicas(model) <= retained;
    }

    /** Plans a load from the checkpoint store that begins now. */
    Optional<LoadPlan> planFromStore(ModelDefinition model, SchedulingRound round) {
        List<StorePlacement.Engine> engines =
                candidates(model, round.engines(), round)
                        .filter(EngineDriver::acceptsModelOrders)
                        .map(engine -> storeTarget(engine, round))
                        .toList();
        boolean mayEvict = mEvictionsSuspendedUntil.isPast(round.nowMillis());
        return StorePlacement.choose(model.weightsMegabytes(), model.storeLoadMillis(), engines)
                .filter(plan -> mayEvict || plan.victims().isEmpty());
    }

    private StorePlacement.Engine storeTarget(EngineDriver engine, SchedulingRound round) {
        EngineView view = view(engine, round);
        List<StorePlacement.Copy> evictable = new ArrayList<>();
        view.models()
                .forEach(
                        (name, held) -> {
                            if (!held.pinned() && !isRetained(name, round)) {
                                evictable.add(copy(name, Optional.of(held), engine, round));
                            }
                        });
        Set<String> cached = new HashSet<>(view.onDisk());
        cached.addAll(view.inMemory());
        List<StorePlacement.Copy> cachedOnly =
                cached.stream()
                        .filter(name -> round.holders(name).isEmpty())
                        .map(name -> copy(name, Optional.empty(), engine, round))
                        .toList();
        return new StorePlacement.Engine(view, evictable, cachedOnly);
    }

    private StorePlacement.Copy copy(
            String model, Optional<ModelView> held, EngineDriver engine, SchedulingRound round) {
        ModelRate rate = rate(model, round);
        return new StorePlacement.Copy(
                model,
                held.map(ModelView::megabytes).orElse(0.0),
                rate.callsPerSecond(),
                rate.objectiveMillis(),
                round.hasOtherCopy(engine, model),
                held.map(ModelView::remainingMillis).orElse(0L));
    }

    /** Returns the engines whose state is known and that neither hold nor load a model. */
    private static Stream<EngineDriver> candidates(
            ModelDefinition model, List<EngineDriver> engines, SchedulingRound round) {
        List<EngineDriver> holders = round.holders(model.name());
        List<EngineDriver> loaders = round.loaders(model.name());
        return round.loadTargets(engines).stream()
                .filter(EngineDriver::isStateKnown)
                .filter(engine -> !holders.contains(engine) && !loaders.contains(engine));
    }

    private Optional<LoadPlan> plan(
            ModelDefinition model,
            Optional<ModelRequest> modelRequest,
            List<EngineView> views,
            int maxStoreLoads,
            SchedulingRound round) {
        long now = round.nowMillis();
        boolean storeAllowed = !round.awaitsFirstReport() && round.storeReads() < maxStoreLoads;
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

    /** Enqueues the orders of a plan. */
    void enqueue(LoadPlan plan, ModelDefinition model, SchedulingRound round) {
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

    /** Returns an engine as the planner sees it. */
    EngineView view(EngineDriver engine, SchedulingRound round) {
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
                rate(name, round),
                round.replicas(name),
                neededReplicas(name, round),
                isPinned(engine, name, round),
                model.diskLoadMillis());
    }

    /** Returns the rate by which the loss of an eviction is judged. */
    private ModelRate rate(String model, SchedulingRound round) {
        ModelRate present = mDemand.rate(model, round.nowMillis());
        return hasDeferrable()
                ? mHistory.expected(model, round.definition().models().size(), present)
                : present;
    }

    /** Whether a model is expected to get fewer calls than another one. */
    boolean isCalledLess(String model, String other, SchedulingRound round) {
        return rate(model, round).callsPerSecond() < rate(other, round).callsPerSecond();
    }

    private boolean isPinned(EngineDriver engine, String model, SchedulingRound round) {
        return wasAnsweredWithin(MIN_RESIDENT_MILLIS, engine, model, round.nowMillis())
                || round.isRequested(model);
    }

    /** Whether a request for a model was answered with an engine during the last milliseconds. */
    boolean wasAnsweredWithin(long millis, EngineDriver engine, String model, long nowMillis) {
        long lastAnsweredMillis =
                mLastAnsweredMillis
                        .getOrDefault(engine.server().incarnation(), Map.of())
                        // Half the minimum, so that the subtraction below cannot overflow.
                        .getOrDefault(model, Long.MIN_VALUE / 2);
        return nowMillis - lastAnsweredMillis < millis;
    }

    /**
     * Returns the number of replicas that a model needs for its active calls, or for the calls
     * expected from its rate if these are more.
     */
    int neededReplicas(String model, SchedulingRound round) {
        long nowMillis = round.nowMillis();
        double rate = mDemand.rate(model, nowMillis).callsPerSecond();
        double calls = Math.max(mDemand.totalActiveCalls(model, nowMillis), rate * CALL_SECONDS);
        double callsPerReplica = Math.max(1, round.definition().slots() * SLOT_SHARE_PER_REPLICA);
        int minimum = rate >= SPARE_REPLICA_CALLS_PER_SECOND ? 2 : 1;
        return Math.max(minimum, (int) Math.ceil(calls / callsPerReplica));
    }
}

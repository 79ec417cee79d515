package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Chooses the load that causes the least loss to callers, including the callers of the models that
 * are evicted for it.
 *
 * <p>Meant for many rarely called models on engines with room for few of them. Weights load ten
 * times as fast from a cached copy as from the checkpoint store, so the planner may choose to wait
 * for an engine that has a cached copy. It evicts the models whose callers lose least. A load is
 * not worthwhile yet if it would cost other callers more than its own callers lose by waiting
 * longer. Of plans with equal losses, as without calls, it chooses one with the fewest evictions.
 * Losses are in the unit of {@link DelayLoss}. Pure and thread-safe.
 */
public final class CheapestLoadPlanner implements LoadPlanner {
    /**
     * If another engine has a replica of an evicted model, the calls that are expected within this
     * period count as affected by the eviction.
     */
    private static final double AFFECTED_SECONDS = 6;

    /** Loss per affected call if the remaining replicas are at least as many as the calls need. */
    private static final double ENOUGH_REPLICAS_LOSS = 0.003;

    /** Loss per affected call if the remaining replicas are fewer than the calls need. */
    private static final double TOO_FEW_REPLICAS_LOSS = 0.05;

    /**
     * Loss per active call on the engine that performs the load, since the call and the load share
     * the engine.
     */
    private static final double ACTIVE_CALL_LOSS = 0.002;

    /**
     * Loss per model that no engine holds or loads and whose only cached copy is on this engine's
     * disk: no engine can load that model from a copy while this engine reads the checkpoint store.
     */
    private static final double SOLE_COPY_LOSS = 0.25;

    /**
     * Expected time until an engine has free memory for an evicted model that is requested again,
     * assuming that all engines are full.
     */
    private static final long FREE_MEMORY_WAIT_MILLIS = 700;

    /** Assumed time after which a load that is not worthwhile is considered again. */
    private static final long RECONSIDER_MILLIS = 400;

    /** Loss to other callers that is accepted for any load. */
    private static final double ACCEPTED_LOSS = 0.15;

    /** A plan and the total loss that it causes to callers, including the wait for the load. */
    private record EvaluatedPlan(LoadPlan plan, double loss) {}

    @Override
    public Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines) {
        return engines.stream()
                .flatMap(engine -> evaluate(request, engine).stream())
                .filter(
                        evaluated ->
                                request.storeAllowed()
                                        || evaluated.plan().source() != WeightSource.STORE)
                .min(
                        Comparator.comparingDouble(EvaluatedPlan::loss)
                                .thenComparingInt(evaluated -> evaluated.plan().victims().size()))
                .map(EvaluatedPlan::plan);
    }

    private static Optional<EvaluatedPlan> evaluate(LoadRequest request, EngineView engine) {
        ModelDefinition model = request.model();
        WeightSource source = source(model.name(), engine);
        double othersLoss = ACTIVE_CALL_LOSS * engine.activeCallCount();
        othersLoss += source == WeightSource.STORE ? SOLE_COPY_LOSS * engine.soleCopyCount() : 0;
        double freeMegabytes = engine.freeMegabytes();
        long drainMillis = 0;
        List<String> evicted = new ArrayList<>();
        for (Map.Entry<String, ModelView> candidate : evictionCandidates(request, engine)) {
            if (freeMegabytes >= model.weightsMegabytes()) {
                break;
            }
            evicted.add(candidate.getKey());
            freeMegabytes += candidate.getValue().megabytes();
            othersLoss += evictionLoss(candidate.getValue());
            drainMillis = Math.max(drainMillis, candidate.getValue().remainingMillis());
        }
        if (freeMegabytes < model.weightsMegabytes()) {
            return Optional.empty();
        }
        long loadMillis = loadMillis(model, source);
        boolean isWorthwhile = othersLoss <= ACCEPTED_LOSS + request.lossUntil(RECONSIDER_MILLIS);
        LoadPlan plan =
                new LoadPlan(
                        engine.incarnation(),
                        evicted,
                        source,
                        engine.waitMillis(),
                        drainMillis,
                        loadMillis,
                        isWorthwhile);
        return Optional.of(
                new EvaluatedPlan(plan, othersLoss + request.lossUntil(plan.totalMillis())));
    }

    /**
     * Returns the models that may be evicted, in ascending order of the loss that their eviction
     * causes to their own callers and to the callers of the requested model, who wait until the
     * active calls to the evicted model end.
     */
    private static List<Map.Entry<String, ModelView>> evictionCandidates(
            LoadRequest request, EngineView engine) {
        return engine.models().entrySet().stream()
                .filter(entry -> !entry.getValue().pinned())
                .sorted(
                        Comparator.comparingDouble(
                                entry ->
                                        evictionLoss(entry.getValue())
                                                + request.lossUntil(
                                                        entry.getValue().remainingMillis())))
                .toList();
    }

    /** Returns the fastest source from which an engine can load a model's weights. */
    static WeightSource source(String model, EngineView engine) {
        if (engine.inMemory().contains(model)) {
            return WeightSource.MEMORY;
        }
        return engine.onDisk().contains(model) ? WeightSource.DISK : WeightSource.STORE;
    }

    /** Returns the duration of a load that does not compete with other loads. */
    static long loadMillis(ModelDefinition model, WeightSource source) {
        return switch (source) {
            case MEMORY -> model.memoryLoadMillis();
            case DISK -> model.diskLoadMillis();
            case STORE -> model.storeLoadMillis();
        };
    }

    /** Returns the loss to a model's callers if the model is evicted. */
    private static double evictionLoss(ModelView model) {
        double calls = model.rate().callsPerSecond() * AFFECTED_SECONDS;
        if (model.replicas() > model.neededReplicas()) {
            return calls * ENOUGH_REPLICAS_LOSS;
        }
        if (model.replicas() > 1) {
            return calls * TOO_FEW_REPLICAS_LOSS;
        }
        return DelayLoss.ofArrivals(
                model.rate(),
                model.remainingMillis() + model.reloadMillis() + FREE_MEMORY_WAIT_MILLIS);
    }
}

package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Chooses the load that makes the fewest calls late, including calls to the models that it evicts.
 *
 * <p>Suits many rarely called models on engines with room for few. A cached copy loads ten times as
 * fast as one from the checkpoint store, so it pays to wait for an engine that has one. The models
 * evicted are those whose callers lose least. A load is not worthwhile yet if it would cost other
 * callers more than its own callers lose by waiting longer. Losses are measured in late calls. Pure
 * and thread-safe.
 */
public final class CheapestLoadPlanner implements LoadPlanner {
    /**
     * Period whose expected calls count as affected by the eviction of a model of which another
     * engine has a replica.
     */
    private static final double HORIZON_SECONDS = 6;

    /** Loss per affected call if the remaining replicas are enough. */
    private static final double ENOUGH_REPLICAS_LOSS = 0.003;

    /** Loss per affected call if the remaining replicas are too few. */
    private static final double TOO_FEW_REPLICAS_LOSS = 0.05;

    /** Loss per active call on the engine that performs the load. */
    private static final double SHARED_LOSS = 0.002;

    /**
     * Loss per model whose only cached copy is on the engine: no engine can load it from a copy
     * while this one reads the checkpoint store.
     */
    private static final double SOLE_COPY_LOSS = 0.25;

    /**
     * Expected time that an evicted model waits for free memory when it is requested again, since
     * all engines are full.
     */
    private static final long FREE_MEMORY_WAIT_MILLIS = 700;

    /** Time after which a load that is not worthwhile is considered again. */
    private static final long RECONSIDER_MILLIS = 400;

    /** Loss of other callers that is accepted for any load. */
    private static final double ACCEPTED_LOSS = 0.15;

    /** A plan with the total loss that it causes to callers. */
    private record PricedPlan(LoadPlan plan, double loss) {}

    @Override
    public Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines) {
        return engines.stream()
                .flatMap(engine -> price(request, engine).stream())
                .filter(
                        priced ->
                                request.storeAllowed()
                                        || priced.plan().source() != WeightSource.STORE)
                .min(Comparator.comparingDouble(PricedPlan::loss))
                .map(PricedPlan::plan);
    }

    private static Optional<PricedPlan> price(LoadRequest request, EngineView engine) {
        ModelDefinition model = request.model();
        WeightSource source = source(model.name(), engine);
        double othersLoss = SHARED_LOSS * engine.active();
        othersLoss += source == WeightSource.STORE ? SOLE_COPY_LOSS * engine.soleCopies() : 0;
        double free = engine.freeMegabytes();
        long drain = 0;
        List<String> evict = new ArrayList<>();
        for (Map.Entry<String, ModelView> victim : victims(request, engine)) {
            if (free >= model.megabytes()) {
                break;
            }
            evict.add(victim.getKey());
            free += victim.getValue().megabytes();
            othersLoss += loss(victim.getValue());
            drain = Math.max(drain, victim.getValue().remainingMillis());
        }
        if (free < model.megabytes()) {
            return Optional.empty();
        }
        long load = loadMillis(model, source);
        boolean isWorthwhile = othersLoss <= ACCEPTED_LOSS + request.lossUntil(RECONSIDER_MILLIS);
        LoadPlan plan =
                new LoadPlan(
                        engine.incarnation(),
                        evict,
                        source,
                        engine.waitMillis(),
                        drain,
                        load,
                        isWorthwhile);
        return Optional.of(
                new PricedPlan(plan, othersLoss + request.lossUntil(plan.totalMillis())));
    }

    /**
     * Returns the models that may be evicted, in ascending order of the loss to their callers and
     * to the callers that wait for the memory until the active calls end.
     */
    private static List<Map.Entry<String, ModelView>> victims(
            LoadRequest request, EngineView engine) {
        return engine.models().entrySet().stream()
                .filter(entry -> !entry.getValue().pinned())
                .sorted(
                        Comparator.comparingDouble(
                                entry ->
                                        loss(entry.getValue())
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
    private static double loss(ModelView model) {
        double calls = model.rate().callsPerSecond() * HORIZON_SECONDS;
        if (model.replicas() > model.neededReplicas()) {
            return calls * ENOUGH_REPLICAS_LOSS;
        }
        if (model.replicas() > 1) {
            return calls * TOO_FEW_REPLICAS_LOSS;
        }
        return DelayCost.ofArrivals(
                model.rate(),
                model.remainingMillis() + model.reloadMillis() + FREE_MEMORY_WAIT_MILLIS);
    }
}

package org.cornelway.models;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Chooses the first engine that can begin an order now and that has room for the model or can make
 * room by evicting one model.
 *
 * <p>Baseline with which tests compare {@link CheapestLoadPlanner}. Never evicts a pinned model,
 * and loads from the checkpoint store only if the request allows it. Assumes that the calls to an
 * evicted model end at once. Pure and thread-safe.
 */
public final class FirstFitLoadPlanner implements LoadPlanner {
    @Override
    public Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines) {
        ModelDefinition model = request.model();
        for (EngineView engine : engines) {
            WeightSource source = CheapestLoadPlanner.source(model.name(), engine);
            if (engine.waitMillis() > 0
                    || source == WeightSource.STORE && !request.storeAllowed()) {
                continue;
            }
            Optional<LoadPlan> plan = planOn(model, engine, source);
            if (plan.isPresent()) {
                return plan;
            }
        }
        return Optional.empty();
    }

    private static Optional<LoadPlan> planOn(
            ModelDefinition model, EngineView engine, WeightSource source) {
        long millis = CheapestLoadPlanner.loadMillis(model, source);
        if (engine.freeMegabytes() >= model.weightsMegabytes()) {
            // Neither a wait nor a drain is needed; this planner considers every load worthwhile.
            return Optional.of(
                    new LoadPlan(engine.incarnation(), List.of(), source, 0, 0, millis, true));
        }
        return engine.models().entrySet().stream()
                .filter(entry -> !entry.getValue().pinned())
                .filter(
                        entry ->
                                engine.freeMegabytes() + entry.getValue().megabytes()
                                        >= model.weightsMegabytes())
                .map(Map.Entry::getKey)
                .findFirst()
                .map(
                        evicted ->
                                new LoadPlan(
                                        engine.incarnation(),
                                        List.of(evicted),
                                        source,
                                        0,
                                        0,
                                        millis,
                                        true));
    }
}

package org.cornelway.models;

import java.util.List;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/** Chooses where to load a model. Implementations are pure and thread-safe. */
@FunctionalInterface
public interface LoadPlanner {
    /**
     * Plans one load.
     *
     * @param model the model wanted
     * @param engines engines that do not hold it
     * @param storeAllowed whether the weight store may be read now
     */
    Optional<LoadPlan> plan(ModelDefinition model, List<EngineView> engines, boolean storeAllowed);
}

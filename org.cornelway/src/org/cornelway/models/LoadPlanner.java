package org.cornelway.models;

import java.util.List;
import java.util.Optional;

/** Chooses where to load a model. Implementations are pure and thread-safe. */
@FunctionalInterface
public interface LoadPlanner {
    /**
     * Plans one load.
     *
     * @param request the model to load, and the demand for it
     * @param engines engines that neither hold nor load the model
     * @return the plan, or empty if no engine can load the model
     */
    Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines);
}

package org.cornelway.models;

import java.util.Map;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;

/** Works out what an engine's memory still takes. Stateless. */
final class EngineMemory {
    private EngineMemory() {}

    /** Memory that neither models, adapters nor orders take; a model not configured takes all. */
    static double freeMegabytes(EngineDriver engine, EngineDefinition definition) {
        double used = engine.orderQueue().reservedMegabytes();
        for (Map.Entry<String, HeldAdapters> held : engine.models().entrySet()) {
            ModelDefinition model = definition.models().get(held.getKey());
            used +=
                    model == null
                            ? definition.weightsMegabytes()
                            : model.megabytes()
                                    + held.getValue().count() * model.adapterMegabytes();
        }
        return definition.weightsMegabytes() - used;
    }
}

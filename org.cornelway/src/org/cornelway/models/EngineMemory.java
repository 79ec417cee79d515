package org.cornelway.models;

import java.util.Map;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;

/** Computes the free memory of an engine. Stateless. */
final class EngineMemory {
    private EngineMemory() {}

    /**
     * Returns the memory for weights that is not taken by models, adapters or outstanding loads;
     * may be negative. A held model that is not configured counts as taking all memory.
     */
    static double freeMegabytes(EngineDriver engine, EngineDefinition definition) {
        double used = engine.orderQueue().reservedMegabytes();
        for (Map.Entry<String, HeldAdapters> held : engine.models().entrySet()) {
            ModelDefinition model = definition.models().get(held.getKey());
            used +=
                    model == null
                            ? definition.weightsCapacityMegabytes()
                            : model.weightsMegabytes()
                                    + held.getValue().count() * model.adapterMegabytes();
        }
        return definition.weightsCapacityMegabytes() - used;
    }
}

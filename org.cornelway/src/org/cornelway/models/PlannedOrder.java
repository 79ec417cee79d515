package org.cornelway.models;

import java.util.Optional;

/**
 * An order that an engine is to carry out. Immutable.
 *
 * @param isLoad true to load, false to unload
 * @param model the model
 * @param adapter the adapter, empty for the model itself
 * @param megabytes memory that a load takes; 0 for an unload
 * @param expectedMillis expected duration of the order
 * @param source source of the weights if the order loads a model; otherwise not used
 */
public record PlannedOrder(
        boolean isLoad,
        String model,
        Optional<String> adapter,
        double megabytes,
        long expectedMillis,
        WeightSource source) {
    /** Whether the order loads a model from the checkpoint store. */
    public boolean readsCheckpointStore() {
        return isLoad && adapter.isEmpty() && source == WeightSource.STORE;
    }
}

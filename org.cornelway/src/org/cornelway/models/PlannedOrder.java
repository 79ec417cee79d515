package org.cornelway.models;

import java.util.Optional;

/**
 * One order that an engine is to carry out. Immutable.
 *
 * @param load true to load, false to unload
 * @param model the model
 * @param adapter the adapter, empty for the model itself
 * @param megabytes memory that a load takes
 * @param expectedMillis time that the engine is expected to need
 * @param source where a model's weights come from
 */
public record PlannedOrder(
        boolean load,
        String model,
        Optional<String> adapter,
        double megabytes,
        long expectedMillis,
        WeightSource source) {
    /** Whether the step loads a model from the weight store. */
    public boolean readsStore() {
        return load && adapter.isEmpty() && source == WeightSource.STORE;
    }
}

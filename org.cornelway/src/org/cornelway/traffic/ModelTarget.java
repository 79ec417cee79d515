package org.cornelway.traffic;

/**
 * A model, or one of its adapters. Immutable.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 */
public record ModelTarget(String model, String adapter) {
    /** Whether this target is an adapter rather than the model itself. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}

package org.cornelway.traffic;

/**
 * A model, or one adapter of it. Immutable.
 *
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 */
public record ModelTarget(String model, String adapter) {
    /** Whether an adapter is asked for. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}

package org.cornelway.traffic;

/**
 * A model, or one of its adapters. Immutable.
 *
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 */
public record ModelTarget(String model, String adapter) {
    /** Whether this is an adapter. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}

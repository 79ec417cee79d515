package org.cornelway.memory;

/**
 * Identifies the model or adapter that memory is reserved for. Immutable.
 *
 * @param model the model
 * @param adapter one of its adapters, or empty for the model itself
 */
public record ReservationKey(String model, String adapter) {
    /** Returns the key of a model itself. */
    public static ReservationKey ofModel(String model) {
        return new ReservationKey(model, "");
    }
}

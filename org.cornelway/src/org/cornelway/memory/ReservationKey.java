package org.cornelway.memory;

/**
 * Names what memory is reserved for. Immutable.
 *
 * @param model the model
 * @param adapter one of its adapters, or empty for the model itself
 */
public record ReservationKey(String model, String adapter) {
    /** The key of a model itself. */
    public static ReservationKey ofModel(String model) {
        return new ReservationKey(model, "");
    }
}

package org.cornelway.platform;

/**
 * An order from an agent to its model engine. Immutable.
 *
 * @param kind what to do
 * @param model the model
 * @param adapter the adapter, empty for an order about the model itself
 * @param shard placement shard that the order belongs to
 * @param fencingNumber number of the placement document that allows the order
 */
public record EngineOrder(Kind kind, String model, String adapter, int shard, long fencingNumber) {
    /** The operation of an order. */
    public enum Kind {
        LOAD,
        UNLOAD,
        LOAD_ADAPTER,
        UNLOAD_ADAPTER
    }
}

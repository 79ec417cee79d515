package org.cornelway.platform;

/**
 * An order that an agent sends to its own model engine. Immutable.
 *
 * <p>An engine without an agent receives a {@link ServerOrder} from the controller.
 *
 * @param kind operation to carry out
 * @param model the model
 * @param adapter the adapter, empty for an order about the model itself
 * @param shard shard of the placement document that allows the order
 * @param fencingNumber fencing number of that document; an engine that checks it rejects orders
 *     with an older number
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

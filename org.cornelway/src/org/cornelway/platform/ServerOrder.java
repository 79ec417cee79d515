package org.cornelway.platform;

import java.util.Optional;

/**
 * An order that the controller sends directly to a model engine, without an agent. Immutable.
 *
 * <p>An engine that has an agent receives an {@link EngineOrder} from the agent instead.
 *
 * @param isLoad true to load, false to unload
 * @param model the model
 * @param adapter the adapter, empty for an order about the model itself
 * @param expectedOrders number of orders that the engine has accepted so far, as the controller
 *     knows it; the engine rejects the order if its own count differs
 * @param holder instance id of the process that sends the order
 * @param fencingNumber fencing number of that process's term
 */
public record ServerOrder(
        boolean isLoad,
        String model,
        Optional<String> adapter,
        long expectedOrders,
        String holder,
        long fencingNumber) {}

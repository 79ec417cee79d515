package org.cornelway.platform;

import java.util.Optional;

/**
 * An order to a model engine that is called directly. Immutable.
 *
 * @param load true to load, false to unload
 * @param model the model
 * @param adapter the adapter, empty for an order about the model itself
 * @param expectedOrders orders that the engine has accepted; it refuses the order otherwise
 * @param holder name of the process that orders
 * @param fencingNumber fencing number of its term
 */
public record ServerOrder(
        boolean load,
        String model,
        Optional<String> adapter,
        long expectedOrders,
        String holder,
        long fencingNumber) {}

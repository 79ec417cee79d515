package org.cornelway.platform;

import java.util.Map;
import java.util.Set;

/**
 * What a model engine says of itself, as of some hundred milliseconds ago. Immutable.
 *
 * @param startedMillis start of its life, milliseconds since the epoch
 * @param acceptedOrders orders that it accepted in this life
 * @param busy whether an order about a model is under way
 * @param models models that it holds, each with its adapters
 * @param pendingAdapters adapters on their way, as {@code model/adapter}
 * @param inMemory models of which its host memory has a copy
 * @param onDisk models of which its disk has a copy
 * @param active requests that it works on
 * @param waiting requests that wait in it
 */
public record EngineReport(
        long startedMillis,
        long acceptedOrders,
        boolean busy,
        Map<String, Set<String>> models,
        Set<String> pendingAdapters,
        Set<String> inMemory,
        Set<String> onDisk,
        int active,
        int waiting) {}

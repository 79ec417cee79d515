package org.cornelway.platform;

import java.util.Map;
import java.util.Set;

/**
 * A model engine's report on its own state, which may be several hundred milliseconds old.
 * Immutable.
 *
 * @param startedMillis start of this incarnation of the engine, in milliseconds since the epoch
 * @param acceptedOrders number of orders that the engine has accepted in this incarnation
 * @param busy whether the engine is loading or unloading a model
 * @param models loaded models, each with its loaded adapters
 * @param pendingAdapters adapters that are being loaded, as {@code model/adapter}
 * @param inMemory models with a cached copy in the memory of the engine's host
 * @param onDisk models with a cached copy on the engine's disk
 * @param active number of requests that the engine is running
 * @param waiting number of requests in the engine's queue
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

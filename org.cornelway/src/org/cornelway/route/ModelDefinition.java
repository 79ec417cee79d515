package org.cornelway.route;

/**
 * A model that a service's engines may load. Immutable.
 *
 * @param name the model
 * @param megabytes size of its weights
 * @param storeLoadMillis time of a load from the weight store, alone
 * @param diskLoadMillis time of a load from the engine's disk
 * @param memoryLoadMillis time of a load from the engine's host memory
 * @param adapters number of its adapters
 * @param adapterMegabytes size of each adapter
 */
public record ModelDefinition(
        String name,
        double megabytes,
        long storeLoadMillis,
        long diskLoadMillis,
        long memoryLoadMillis,
        int adapters,
        double adapterMegabytes) {}

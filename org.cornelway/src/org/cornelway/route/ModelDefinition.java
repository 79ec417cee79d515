package org.cornelway.route;

/**
 * A model that the engines of a service may load. Immutable.
 *
 * @param name name of the model
 * @param weightsMegabytes size of its weights
 * @param storeLoadMillis duration of a load from the checkpoint store if no other load is in
 *     progress
 * @param diskLoadMillis duration of a load from the engine's disk
 * @param memoryLoadMillis duration of a load from the engine's host memory
 * @param adapterCount number of adapters of the model
 * @param adapterMegabytes size of each adapter
 */
public record ModelDefinition(
        String name,
        double weightsMegabytes,
        long storeLoadMillis,
        long diskLoadMillis,
        long memoryLoadMillis,
        int adapterCount,
        double adapterMegabytes) {}

package org.cornelway.route;

import java.util.Map;

/**
 * The capabilities of each model engine of a service. Immutable.
 *
 * @param slots requests that an engine processes in one batch
 * @param kvTokens capacity of an engine's KV cache in tokens
 * @param weightsCapacityMegabytes memory of an engine for weights and adapters together
 * @param hostMemoryMegabytes host memory of an engine for cached copies of weights
 * @param adapterSlots number of adapters that an engine can hold
 * @param storeLoadsPerSecond loads from the checkpoint store that all engines together may start
 *     per second
 * @param models the models by name
 */
public record EngineDefinition(
        int slots,
        long kvTokens,
        double weightsCapacityMegabytes,
        double hostMemoryMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, ModelDefinition> models) {}

package org.cornelway.route;

import java.util.Map;

/**
 * The capabilities of each model engine of a service. Immutable.
 *
 * @param slots requests that it processes in one batch
 * @param kvTokens capacity of the KV cache in tokens
 * @param weightsMegabytes memory for weights and adapters together
 * @param hostMegabytes host memory for cached copies of weights
 * @param adapterSlots adapters that it can hold
 * @param storeLoadsPerSecond loads from the checkpoint store that may start per second, over all
 *     engines
 * @param models the models by name
 */
public record EngineDefinition(
        int slots,
        long kvTokens,
        double weightsMegabytes,
        double hostMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, ModelDefinition> models) {}

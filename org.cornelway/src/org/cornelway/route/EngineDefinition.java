package org.cornelway.route;

import java.util.Map;

/**
 * What the model engines of a service can do. Immutable.
 *
 * @param slots requests in one batch
 * @param kvTokens tokens of KV cache
 * @param weightsMegabytes memory for weights and adapters together
 * @param hostMegabytes host memory for copies of weights
 * @param adapterSlots adapters that an engine can hold
 * @param storeLoadsPerSecond loads from the weight store that may begin each second, all engines
 *     together
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

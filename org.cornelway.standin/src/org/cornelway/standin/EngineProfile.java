package org.cornelway.standin;

/**
 * Capacity and timing of a simulated model engine. Immutable.
 *
 * @param memoryBytes memory of the engine
 * @param modelBytes memory per model
 * @param adapterBytes memory per adapter
 * @param checksFencing whether orders with stale fencing numbers are rejected
 * @param unloadMillis time to unload a model
 * @param adapterLoadMillis time to load an adapter
 * @param tokenMillis time between two tokens of a response
 * @param batchSize number of running requests above which the time per token grows
 * @param defaultTokens length of the response to a request that sets no token limit
 */
public record EngineProfile(
        long memoryBytes,
        long modelBytes,
        long adapterBytes,
        boolean checksFencing,
        long unloadMillis,
        long adapterLoadMillis,
        long tokenMillis,
        int batchSize,
        int defaultTokens) {
    /** A small engine with memory for two models. */
    public static EngineProfile small(boolean checksFencing) {
        return new EngineProfile(40L << 30, 16L << 30, 256L << 20, checksFencing, 20, 6, 5, 16, 16);
    }
}

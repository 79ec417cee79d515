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
 * @param batchSize number of concurrent responses above which the time per token grows
 * @param defaultTokens number of tokens in the response to a request that sets no limit
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
    /** Returns the profile of an engine with 40 GiB of memory and models of 16 GiB, so two fit. */
    public static EngineProfile small(boolean checksFencing) {
        return new EngineProfile(40L << 30, 16L << 30, 256L << 20, checksFencing, 20, 6, 5, 16, 16);
    }
}

package org.cornelway.standin;

/**
 * Sizes and speeds of an engine stand-in. Immutable.
 *
 * @param memoryBytes its memory
 * @param modelBytes memory that each model takes
 * @param adapterBytes memory that each adapter takes
 * @param checksFencing whether orders with old numbers are refused
 * @param unloadMillis time of an unload
 * @param adapterLoadMillis time of an adapter's load
 * @param tokenMillis time between two tokens of a request
 * @param batchSize requests beyond which tokens slow down
 * @param defaultTokens tokens of an answer that names no number
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
    /** A small engine that holds two models. */
    public static EngineProfile small(boolean checksFencing) {
        return new EngineProfile(40L << 30, 16L << 30, 256L << 20, checksFencing, 20, 6, 5, 16, 16);
    }
}

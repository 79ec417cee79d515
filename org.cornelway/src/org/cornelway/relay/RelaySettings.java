package org.cornelway.relay;

/**
 * Settings of the document relay. Immutable.
 *
 * @param fanOut number of peers that a process synchronizes with when a document changes
 * @param antiEntropyMillis time between two periodic synchronizations with a random peer
 * @param watchers number of processes that watch the key-value service
 */
public record RelaySettings(int fanOut, long antiEntropyMillis, int watchers) {
    /** Returns the default values. */
    public static RelaySettings defaults() {
        return new RelaySettings(3, 1_000, 3);
    }
}

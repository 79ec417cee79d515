package org.cornelway.relay;

/**
 * Settings of the relay. Immutable.
 *
 * @param fanOut peers that a new document is pushed to
 * @param antiEntropyMillis time between two exchanges with a random peer
 * @param watchers processes that watch the key-value service
 */
public record RelaySettings(int fanOut, long antiEntropyMillis, int watchers) {
    /** The values used when none are set. */
    public static RelaySettings defaults() {
        return new RelaySettings(3, 1_000, 3);
    }
}

package org.cornelway.relay;

/**
 * Settings of the relay. Immutable.
 *
 * @param fanOut number of peers that a new document is announced to
 * @param antiEntropyMillis time between two exchanges with a random peer
 * @param watchers number of processes that watch the key-value service
 */
public record RelaySettings(int fanOut, long antiEntropyMillis, int watchers) {
    /** Returns the default values. */
    public static RelaySettings defaults() {
        return new RelaySettings(3, 1_000, 3);
    }
}

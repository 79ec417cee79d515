package org.cornelway.intent;

/**
 * Settings of the intent log. Immutable.
 *
 * @param shards number of shards; must be the same in all processes, which derive the shard of a
 *     key from it
 * @param writeIntervalMillis shortest time between two writes of an agent to one shard
 * @param retainMillis time for which a key is remembered
 * @param maxBodyBytes size of the largest response body that is kept, in bytes
 */
public record IntentSettings(
        int shards, long writeIntervalMillis, long retainMillis, int maxBodyBytes) {
    /** Returns the default settings. */
    public static IntentSettings defaults() {
        return new IntentSettings(16, 50, 7_200_000, 4_096);
    }
}

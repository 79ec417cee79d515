package org.cornelway.intent;

/**
 * Settings of the intent log. Immutable.
 *
 * @param shards number of shards; the same in all processes
 * @param writeIntervalMillis least time between two writes of a shard
 * @param retainMillis how long a key is remembered
 * @param maxBodyBytes largest answer that is kept
 */
public record IntentSettings(
        int shards, long writeIntervalMillis, long retainMillis, int maxBodyBytes) {
    /** The values used when none are set. */
    public static IntentSettings defaults() {
        return new IntentSettings(16, 50, 7_200_000, 4_096);
    }
}

package org.cornelway.intent;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest record of each key of an intent shard, built from the records of its segments. A
 * record that expires stays in the index until {@link #removeExpired} or {@link #clear}.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
final class IntentIndex {
    private final Map<String, IntentRecord> mLatest = new HashMap<>();

    void clear() {
        mLatest.clear();
    }

    /** Adds records in the order in which they were written; ignores those that have expired. */
    void apply(Collection<IntentRecord> records, long nowMillis) {
        for (IntentRecord record : records) {
            if (record.expiresMillis() > nowMillis) {
                mLatest.put(record.key(), record);
            }
        }
    }

    /**
     * Returns the latest record of a key, or empty if there is none or the latest attempt was
     * abandoned.
     */
    Optional<IntentRecord> find(String key) {
        return Optional.ofNullable(mLatest.get(key))
                .filter(record -> record.kind() != IntentRecord.Kind.ABANDONED);
    }

    void removeExpired(long nowMillis) {
        mLatest.values().removeIf(record -> record.expiresMillis() <= nowMillis);
    }

    int size() {
        return mLatest.size();
    }
}

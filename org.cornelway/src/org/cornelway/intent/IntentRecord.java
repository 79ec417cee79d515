package org.cornelway.intent;

/**
 * One entry of an intent segment. Immutable by convention.
 *
 * @param kind kind of the entry
 * @param key the idempotency key
 * @param fingerprint digest of the call
 * @param attempt unique id of the attempt
 * @param expiresMillis time after which the entry may be discarded, in milliseconds since the epoch
 * @param outcome the answer, for {@link Kind#OUTCOME} only
 */
public record IntentRecord(
        Kind kind,
        String key,
        String fingerprint,
        String attempt,
        long expiresMillis,
        RecordedOutcome outcome) {
    /** The kinds of entry. */
    public enum Kind {
        INTENT,
        OUTCOME,
        ABANDONED
    }
}

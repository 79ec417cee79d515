package org.cornelway.intent;

/**
 * One entry of an intent segment. Immutable by convention.
 *
 * @param kind what the entry says
 * @param key the idempotency key
 * @param fingerprint digest of the call
 * @param attempt unique id of the attempt
 * @param expiresMillis when the entry may be forgotten, in milliseconds since the epoch
 * @param outcome the answer, for {@link Kind#OUTCOME} only
 */
public record IntentRecord(
        Kind kind,
        String key,
        String fingerprint,
        String attempt,
        long expiresMillis,
        RecordedOutcome outcome) {
    /** What an entry says. */
    public enum Kind {
        INTENT,
        OUTCOME,
        ABANDONED
    }
}

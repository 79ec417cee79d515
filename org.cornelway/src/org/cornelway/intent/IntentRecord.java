package org.cornelway.intent;

/**
 * One record of the intent log. Immutable by convention.
 *
 * @param kind what the record states about the attempt
 * @param key the idempotency key
 * @param fingerprint digest of the call
 * @param attempt id of the attempt, unique across all agents
 * @param expiresMillis time after which the record may be discarded, in milliseconds since the
 *     epoch
 * @param outcome the outcome of the call if the kind is {@link Kind#OUTCOME}, otherwise null
 */
public record IntentRecord(
        Kind kind,
        String key,
        String fingerprint,
        String attempt,
        long expiresMillis,
        RecordedOutcome outcome) {
    /** What a record states about its attempt. */
    public enum Kind {
        /** The call may have been sent; its outcome is not known yet. */
        INTENT,
        /** The call ran; the record holds its outcome. */
        OUTCOME,
        /** The call was not sent and never will be, so its key can be used again. */
        ABANDONED
    }
}

package org.cornelway.intent;

import io.reactivex.rxjava3.core.Single;

/**
 * Log that records an intent before a call is sent, and the outcome of the call afterwards.
 *
 * <p>Invariant: while the log remembers a key, it grants at most one attempt with that key, not
 * counting attempts that were abandoned before their call was sent. Confined to the control thread.
 */
public interface IntentLog {
    /**
     * Requests permission to send a call. Never fails: if the intent cannot be recorded, the
     * decision says so.
     */
    Single<IntentDecision> begin(IntentRequest request);

    /** Records the outcome of a granted call, which later requests with its key receive. */
    void recordOutcome(IntentRequest request, RecordedOutcome outcome);

    /** Records that a granted call was never sent, so that its key can be used again. */
    void abandon(IntentRequest request);

    /**
     * Ends a granted call whose outcome is lost. The intent stays recorded, so that the key cannot
     * be used for another attempt.
     */
    void markOutcomeUnknown(IntentRequest request);
}

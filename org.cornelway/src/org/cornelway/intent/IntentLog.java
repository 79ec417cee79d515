package org.cornelway.intent;

import io.reactivex.rxjava3.core.Single;

/**
 * Records an intent before a call is sent and its outcome after.
 *
 * <p>Invariant: of all attempts with one key, at most one is granted, unless each earlier one was
 * abandoned before it was sent. Confined to the control thread.
 */
public interface IntentLog {
    /** Asks to send a call; never fails. */
    Single<IntentDecision> begin(IntentRequest request);

    /** Records the answer of a granted call. */
    void recordOutcome(IntentRequest request, RecordedOutcome outcome);

    /** Records that a granted call was never sent, which frees its key. */
    void abandon(IntentRequest request);

    /** Notes that the outcome of a granted call will never be known here. */
    void markOutcomeUnknown(IntentRequest request);
}

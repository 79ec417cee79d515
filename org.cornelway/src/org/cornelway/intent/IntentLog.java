package org.cornelway.intent;

import io.reactivex.rxjava3.core.Single;

/**
 * Log that records an intent before a call is sent, and the outcome of the call afterwards.
 *
 * <p>Invariant: while a key is remembered, at most one attempt with it is granted, unless each
 * earlier one was abandoned before its call was sent. Confined to the control thread.
 */
public interface IntentLog {
    /** Requests permission to send a call. The result never fails. */
    Single<IntentDecision> begin(IntentRequest request);

    /** Records the answer of a granted call. */
    void recordOutcome(IntentRequest request, RecordedOutcome outcome);

    /** Records that a granted call was never sent, so that its key can be used again. */
    void abandon(IntentRequest request);

    /** Ends a granted call whose outcome will never be known here. The intent stays recorded. */
    void markOutcomeUnknown(IntentRequest request);
}

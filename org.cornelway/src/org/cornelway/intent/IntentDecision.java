package org.cornelway.intent;

import io.reactivex.rxjava3.core.Single;

/** The intent log's decision on a request for permission to send a call. Immutable. */
public sealed interface IntentDecision {
    /** The intent is recorded; the call may be sent once, now. */
    record Granted() implements IntentDecision {}

    /** The call has run before, with this outcome. */
    record Recorded(RecordedOutcome outcome) implements IntentDecision {}

    /**
     * The call is running on this agent for another request; the final decision follows when it
     * ends.
     */
    record Running(Single<IntentDecision> finalDecision) implements IntentDecision {}

    /** The call was sent or may have been sent, and its outcome is not known. */
    record OutcomeUnknown(String message) implements IntentDecision {}

    /** The key was used before for a different call. */
    record KeyReused() implements IntentDecision {}

    /**
     * The call must not be sent: its intent was not recorded in time, or the running call that this
     * request waited for turned out never to have been sent.
     */
    record NotRecorded(String message) implements IntentDecision {}
}

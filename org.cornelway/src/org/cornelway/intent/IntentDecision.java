package org.cornelway.intent;

import io.reactivex.rxjava3.core.Single;

/** What a caller of the intent log may do. Immutable. */
public sealed interface IntentDecision {
    /** The intent is recorded; the call may be sent once, now. */
    record Granted() implements IntentDecision {}

    /** The call ran before; this is its answer. */
    record Recorded(RecordedOutcome outcome) implements IntentDecision {}

    /** The call is running here for another request; its end is awaited. */
    record Running(Single<IntentDecision> finalDecision) implements IntentDecision {}

    /** The call was or may have been sent, and its outcome is not known. */
    record OutcomeUnknown(String message) implements IntentDecision {}

    /** The key was used for another call. */
    record KeyReused() implements IntentDecision {}

    /** The intent could not be recorded, and the call will not be sent. */
    record NotRecorded(String message) implements IntentDecision {}
}

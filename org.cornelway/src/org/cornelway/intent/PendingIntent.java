package org.cornelway.intent;

import io.reactivex.rxjava3.subjects.SingleSubject;

/** A begin that waits for its record. Not thread-safe; confined to the control thread. */
final class PendingIntent {
    private final IntentRequest mRequest;
    private final SingleSubject<IntentDecision> mDecision = SingleSubject.create();
    private boolean mCheckedAfterReload;

    PendingIntent(IntentRequest request) {
        mRequest = request;
    }

    IntentRequest request() {
        return mRequest;
    }

    SingleSubject<IntentDecision> decision() {
        return mDecision;
    }

    /** Answers; later answers are ignored. */
    void decide(IntentDecision decision) {
        mDecision.onSuccess(decision);
    }

    boolean isDecided() {
        return mDecision.hasValue();
    }

    boolean isCheckedAfterReload() {
        return mCheckedAfterReload;
    }

    void setCheckedAfterReload() {
        mCheckedAfterReload = true;
    }
}

package org.cornelway.intent;

import io.reactivex.rxjava3.subjects.SingleSubject;

/**
 * A request to the intent log for permission to send a call, and the decision of the log.
 *
 * <p>Confined to the control thread.
 */
final class PendingIntent {
    private final IntentRequest mRequest;
    private final SingleSubject<IntentDecision> mDecision = SingleSubject.create();
    private boolean mReloadRequested;

    PendingIntent(IntentRequest request) {
        mRequest = request;
    }

    IntentRequest request() {
        return mRequest;
    }

    SingleSubject<IntentDecision> decision() {
        return mDecision;
    }

    /** Completes the request with a decision; later decisions are ignored. */
    void decide(IntentDecision decision) {
        mDecision.onSuccess(decision);
    }

    boolean isDecided() {
        return mDecision.hasValue();
    }

    /**
     * Returns whether this request has caused a reload of the shard, to look for an outcome that
     * another agent has written in the meantime.
     */
    boolean isReloadRequested() {
        return mReloadRequested;
    }

    void markReloadRequested() {
        mReloadRequested = true;
    }
}

package org.cornelway.traffic;

import org.cornelway.dispatch.HedgePolicy;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;

/**
 * Tells whether the server of one attempt has been silent for so long that the call is sent to
 * another one. Confined to the traffic thread; lives as long as its attempt.
 */
final class AttemptSilence {
    private final TrafficContext mContext;
    private final Attempt mAttempt;
    private final CallHandler mCallHandler;
    private final AnswerProgress mProgress;
    private final ServerObserver mObserver;

    /** Whether a hedge was sent before the server counted as silent. */
    private boolean mHedgedEarly;

    AttemptSilence(
            TrafficContext context,
            Attempt attempt,
            CallHandler callHandler,
            AnswerProgress progress,
            ServerObserver observer) {
        mContext = context;
        mAttempt = attempt;
        mCallHandler = callHandler;
        mProgress = progress;
        mObserver = observer;
    }

    /**
     * Whether the call was sent and the server counts as silent.
     *
     * @param lateMillis how late the traffic thread is, which may be a part of the silence
     */
    boolean isStalled(long lateMillis) {
        boolean begun = mCallHandler.isStreamBegun();
        boolean failed = mObserver.hasRecentFailure();
        return mAttempt.isSent()
                && mProgress.isStalled(mCallHandler.route(), begun, failed, lateMillis);
    }

    /** Whether the call has no answer yet and needs a second server to meet its objective. */
    boolean isHedgeDue() {
        Route route = mCallHandler.route();
        if (!mAttempt.isSent()
                || !route.isIdempotent()
                || route.kind() == CallKind.STREAM && mCallHandler.isStreamBegun()) {
            return false;
        }
        return HedgePolicy.isDueBeforeObjective(
                route.kind(),
                mObserver.isSlow(),
                millis(),
                mContext.loads().serviceTimes().percentile95(route.name()),
                mCallHandler.terms().objective().remainingMillis(mContext.clock().nowMillis()));
    }

    /** Records that a hedge is sent before the server counts as silent. */
    void recordEarlyHedge() {
        mHedgedEarly = true;
    }

    /** Time for which the server has sent nothing for this call. */
    long millis() {
        return mProgress.silentMillis();
    }

    /**
     * Makes the server suspect, since it was silent for so long that another one went on. If the
     * hedge was sent early, the server has only been slow.
     */
    void record() {
        if (mHedgedEarly && !isStalled(0)) {
            mObserver.recordUnanswered(mCallHandler.route(), millis());
        } else {
            mObserver.recordFailure();
        }
    }

    /** Whether the server works on other calls although it is silent for this one. */
    boolean isServerActive() {
        return mObserver.isActive(millis());
    }
}

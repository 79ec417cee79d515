package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cornelway.result.ResultCode;

/**
 * Ends one call that gets no complete answer from a server.
 *
 * <p>Invariants: the caller gets a response unless it has left or a part of a stream; the response
 * states that the call did not run only if this is proven. Confined to the traffic thread; lives as
 * long as its call.
 */
final class CallEnding {
    private final CallerResponse mResponse;
    private final CallResponder mResponder;
    private final RunningAttempts mAttempts;
    private final SendHistory mHistory;
    private final CallDeadline mDeadline;
    private final BooleanSupplier mIsStreamBegun;
    private long mRetryAfterMillis = CallAdmission.RETRY_AFTER_MILLIS;

    /**
     * @param isStreamBegun whether the caller has received a part of a stream
     */
    CallEnding(
            CallerResponse response,
            CallResponder responder,
            RunningAttempts attempts,
            SendHistory history,
            CallDeadline deadline,
            BooleanSupplier isStreamBegun) {
        mResponse = response;
        mResponder = responder;
        mAttempts = attempts;
        mHistory = history;
        mDeadline = deadline;
        mIsStreamBegun = isStreamBegun;
    }

    /** Sets the delay after which the caller may retry a call that did not run. */
    void setRetryAfterMillis(long millis) {
        mRetryAfterMillis = millis;
    }

    /** Aborts a response that has begun; else sends the server's error response or a local one. */
    void fail(ResultCode code, String reason) {
        if (mResponder.isDone()) {
            return;
        }
        mAttempts.cancelAll();
        if (mIsStreamBegun.getAsBoolean()) {
            mResponder.abort(reason);
        } else {
            mResponder.fail(code, reason, mRetryAfterMillis, mDeadline.get());
        }
    }

    /** Fails the call after recording whether the current attempts may have run it. */
    void end(ResultCode code, String reason) {
        mAttempts.recordPossibleRuns();
        fail(code, reason);
    }

    /** Refuses the call, so that its caller can retry, unless it is being sent or may have run. */
    void refuseIfWaiting() {
        if (!mAttempts.mayHaveRun() && mHistory.possibleRunCount() == 0) {
            abandon();
        }
    }

    /** Ends the call because the process stops; the response says whether it may have run. */
    void abandon() {
        end(ResultCode.AGENT_LEAVING, "the process stops");
    }

    /** Ends the call because of an unexpected error. */
    void onUnexpectedError(String reason) {
        if (!mResponder.isDone()) {
            end(ResultCode.FAILED_BEFORE_RUN, reason);
        } else if (!mResponder.isHandedOver()) {
            mResponse.abort();
        }
    }

    /**
     * Called when the caller's connection is closed; the call is cancelled.
     *
     * @param failure why this process has closed it; empty if the caller has
     */
    void onConnectionClosed(Optional<String> failure) {
        if (!mResponder.isDone()) {
            mAttempts.cancelAll();
            mResponder.recordClosed(failure);
        }
    }
}

package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.result.ResultCode;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * Sends the response of one call and records how the call ended.
 *
 * <p>Invariant: the call ends once; its caller checks {@link #isDone} before it ends the call.
 * Confined to the traffic thread.
 */
final class CallResponder {
    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final CallerResponse mResponse;
    private final SendHistory mHistory;
    private final CallLog mLog;
    private final CallQuota mQuota;
    private Optional<Route> mRoute = Optional.empty();
    private Optional<FullResponse> mErrorResponse = Optional.empty();
    private boolean mDone;
    private boolean mHandedOver;

    CallResponder(
            TrafficContext context,
            CallerRequest request,
            CallerResponse response,
            SendHistory history,
            CallLog log,
            CallQuota quota) {
        mContext = context;
        mRequest = request;
        mResponse = response;
        mHistory = history;
        mLog = log;
        mQuota = quota;
    }

    /** Sets the route that the end of the call is recorded with. */
    void setRoute(Route route) {
        mRoute = Optional.of(route);
    }

    /** Sets the error response of a server that {@link #fail} forwards; empty for none. */
    void setErrorResponse(Optional<FullResponse> errorResponse) {
        mErrorResponse = errorResponse;
    }

    /** Whether there is an error response of a server. */
    boolean hasErrorResponse() {
        return mErrorResponse.isPresent();
    }

    /** Whether the call has ended. */
    boolean isDone() {
        return mDone;
    }

    /** Whether the connection has the whole response, and may carry another call. */
    boolean isHandedOver() {
        return mHandedOver;
    }

    /** Ends the call with a server's response. */
    void forward(FullResponse response) {
        markDone("answered", response.status().code(), "");
        mResponse.sendFull(response.status(), response.headers(), response.body());
        mHandedOver = true;
    }

    /** Ends the call with the end of a complete stream. */
    void endStream(StreamRelay relay) {
        markDone("streamed", HttpResponseStatus.OK.code(), "");
        relay.end();
        mHandedOver = true;
    }

    /** Ends the call by closing the connection within its response. */
    void abort(String reason) {
        markDone("cut", 0, reason);
        mResponse.abort();
        mHandedOver = true;
    }

    /** Ends the call with a response that states that it has not run and never will. */
    void refuse(ResultCode code, String reason, long retryAfterMillis) {
        respondLocally(HttpResponseStatus.SERVICE_UNAVAILABLE, code, reason, retryAfterMillis);
    }

    /** Ends the call since it is beyond its customer's quota; it has not run and never will. */
    void refuseForQuota(long retryAfterMillis) {
        respondLocally(
                HttpResponseStatus.TOO_MANY_REQUESTS,
                ResultCode.QUOTA_EXCEEDED,
                "the quota has no tokens for this call now",
                retryAfterMillis);
    }

    /** Ends a call that has not run and has no key of a customer. */
    void refuseKey(String reason) {
        respondLocally(HttpResponseStatus.UNAUTHORIZED, ResultCode.UNKNOWN_KEY, reason, 0);
    }

    /** Ends the call with a response of this process. */
    void respondLocally(
            HttpResponseStatus status, ResultCode code, String reason, long retryAfterMillis) {
        markDone("own", status.code(), code + ": " + reason);
        LocalResponse.send(
                mContext.codec(), mRequest, mResponse, status, code, reason, retryAfterMillis);
        mHandedOver = true;
    }

    /**
     * Ends a call that has no response yet: with a server's error response if there is one, else
     * with a local one, which states that the call has not run only if that is proven.
     *
     * @param code code of the local response if the call has not run
     * @param retryAfterMillis when the caller may retry a call that has not run
     * @param deadline deadline of the call
     */
    void fail(ResultCode code, String reason, long retryAfterMillis, Deadline deadline) {
        if (mErrorResponse.isPresent()) {
            forward(mErrorResponse.get());
        } else if (mHistory.possibleRunCount() == 0 && code == ResultCode.UNKNOWN_KEY) {
            refuseKey(reason);
        } else if (mHistory.possibleRunCount() == 0) {
            refuse(code, reason, retryAfterMillis);
        } else if (deadline.isPast(mContext.clock().nowMillis())) {
            respondLocally(
                    HttpResponseStatus.GATEWAY_TIMEOUT,
                    ResultCode.DEADLINE_PASSED_RUNNING,
                    reason,
                    0);
        } else {
            respondLocally(HttpResponseStatus.BAD_GATEWAY, ResultCode.OUTCOME_UNKNOWN, reason, 0);
        }
    }

    /**
     * Ends the call without a complete response, since the caller's connection is closed.
     *
     * @param failure why this process has closed it; empty if the caller has
     */
    void recordClosed(Optional<String> failure) {
        String outcome = failure.isPresent() ? "cut" : "left";
        markDone(outcome, 0, failure.orElse("the caller closed the connection"));
    }

    private void markDone(String outcome, int status, String reason) {
        mDone = true;
        mQuota.end();
        mLog.recordEnd(mRoute, outcome, status, mHistory.sends(), reason);
    }
}

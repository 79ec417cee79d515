package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.Candidate;
import org.cornelway.result.ResultCode;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;
import org.cornelway.time.Deadline;

/**
 * Handles one call from its arrival to its response.
 *
 * <p>Invariants: the caller gets exactly one response; a call that is not idempotent is sent again
 * only after proof that it did not run; a response states that the call did not run only if this is
 * proven for each of its sends. Confined to the traffic thread.
 */
final class CallHandler {
    /** Delay before a call that a busy engine has refused is sent again. */
    private static final long BUSY_DELAY_MILLIS = 30;

    /** Delay before dispatching again if the directory lacks the server the controller named. */
    private static final long DIRECTORY_DELAY_MILLIS = 60;

    /** Delay before a stream that has begun is sent again after the retry budget was exhausted. */
    private static final long RESEND_DELAY_MILLIS = 100;

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final CallerResponse mResponse;
    private final CallLog mLog;
    private final SendHistory mHistory = new SendHistory();
    private final CallResponder mResponder;
    private final ServerSelector mSelector;
    private final CallAdmission mAdmission;
    private Optional<Route> mRoute = Optional.empty();
    private String mService = "";
    private final CallDeadline mDeadline;
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<StreamRelay> mRelay = Optional.empty();
    private final ModelWait mModelWait;
    private long mRetryAfterMillis = CallAdmission.RETRY_AFTER_MILLIS;

    CallHandler(TrafficContext context, CallerRequest request, CallerResponse response) {
        mContext = context;
        mRequest = request;
        mResponse = response;
        mLog = new CallLog(context, request);
        mResponder = new CallResponder(context, request, response, mHistory, mLog);
        mModelWait = new ModelWait(context, request);
        mSelector = new ServerSelector(context, request, mHistory);
        mAdmission = new CallAdmission(context, request, mSelector, mHistory);
        mDeadline = new CallDeadline(request);
    }

    /**
     * Finds the route and dispatches the call. If the traffic thread is late, reads the caller's
     * connection once more before, since the caller may have left already.
     */
    void start() {
        if (mContext.loopDelay().isLate()) {
            mContext.afterNextRead(this::begin);
        } else {
            begin();
        }
    }

    private void begin() {
        if (mResponder.isDone()) {
            return;
        }
        TrafficView view = mContext.view().get();
        if (view.routes().isEmpty()) {
            mResponder.refuse(
                    ResultCode.NOT_CONFIGURED,
                    "no configuration is known yet",
                    CallAdmission.RETRY_AFTER_MILLIS);
            return;
        }
        RouteTable routes = view.routes().get();
        mRoute = routes.find(mRequest.head().host(), mRequest.message().uri());
        if (mRoute.isEmpty()) {
            mResponder.respondLocally(
                    HttpResponseStatus.NOT_FOUND,
                    ResultCode.UNKNOWN_SERVICE,
                    "no route for this host and path",
                    0);
            return;
        }
        Route route = mRoute.get();
        mResponder.setRoute(route);
        mService = route.selectService(mRequest.head().requestId().hashCode());
        mContext.retryBudget().recordCall(mService);
        if (route.kind() == CallKind.STREAM) {
            mRelay = Optional.of(new StreamRelay(mResponse, mRequest.head().lastEventId()));
        }
        mContext.usage().recordCall(mRequest.head().target(), route.targetLatencyMillis());
        mDeadline.apply(route, view.configurationVersion());
        dispatch();
    }

    private long now() {
        return mContext.clock().nowMillis();
    }

    Route route() {
        return mRoute.orElseThrow();
    }

    Deadline deadline() {
        return mDeadline.get();
    }

    CallLog log() {
        return mLog;
    }

    Optional<StreamRelay> relay() {
        return mRelay;
    }

    private void dispatch() {
        if (mResponder.isDone() || mAttempt.isPresent()) {
            return;
        }
        List<Candidate> candidates = mSelector.candidates(mService);
        Optional<CallAdmission.Rejection> rejection =
                mAdmission.check(mService, deadline(), candidates);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        Optional<ModelTarget> target = mRequest.head().target();
        boolean allSuspect = candidates.stream().allMatch(Candidate::suspect);
        if (target.isPresent()
                && (candidates.isEmpty() || allSuspect && !mModelWait.wasRequested())) {
            // If all holders are suspect, the controller is asked once for another server.
            candidates.stream().findFirst().ifPresent(c -> onNotHeld(c.server().incarnation()));
            requestModel();
            return;
        }
        OptionalLong wait = target.isPresent() ? excessiveWait(candidates) : OptionalLong.empty();
        if (wait.isPresent()) {
            mRetryAfterMillis = Math.max(CallAdmission.RETRY_AFTER_MILLIS, wait.getAsLong());
            fail(ResultCode.QUEUE_FULL, "an engine would need " + wait.getAsLong() + " ms");
            return;
        }
        Optional<Candidate> chosen = mSelector.choose(candidates);
        if (chosen.isPresent()) {
            send(chosen.get());
        } else {
            fail(ResultCode.NO_REPLICA, "no backend server of " + mService);
        }
    }

    /** Ends the call; one of which the caller has a part waits if its servers want no calls. */
    private void reject(CallAdmission.Rejection rejection) {
        if (isStreamBegun() && rejection.code() == ResultCode.QUEUE_FULL) {
            scheduleDispatch(rejection.retryAfterMillis());
        } else {
            mRetryAfterMillis = rejection.retryAfterMillis();
            fail(rejection.code(), rejection.reason());
        }
    }

    /** As in {@link ModelWait}; empty if the call may have run before. */
    private OptionalLong excessiveWait(List<Candidate> candidates) {
        return isStreamBegun() || mHistory.possibleRunCount() > 0
                ? OptionalLong.empty()
                : mModelWait.excessiveWaitMillis(candidates, route(), deadline());
    }

    private void send(Candidate chosen) {
        if (!mHistory.hasArrived() || tryAcquireResend()) {
            start(chosen);
        } else if (isStreamBegun()) {
            // The caller has a part of the stream and waits for the rest.
            scheduleDispatch(RESEND_DELAY_MILLIS);
        } else {
            fail(ResultCode.QUEUE_FULL, "no retry budget after: " + mHistory.lastReason());
        }
    }

    private boolean tryAcquireResend() {
        return mContext.retryBudget().tryAcquire(mService, mContext.view().get().entryCount());
    }

    private void scheduleDispatch(long delayMillis) {
        mContext.loop().schedule(this::dispatch, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void start(Candidate chosen) {
        mHistory.recordSend(chosen.server().id());
        Attempt attempt = new Attempt(mContext, this, mRequest, chosen.server(), mHistory);
        mAttempt = Optional.of(attempt);
        mLog.logSend(mHistory.sends(), chosen, deadline().remainingMillis(now()));
        attempt.start();
    }

    private void requestModel() {
        mModelWait.request(mService, route(), deadline(), isStreamBegun(), this::onModelTooLate);
    }

    /** Whether the caller has received a part of a stream. */
    boolean isStreamBegun() {
        return mRelay.map(StreamRelay::isHeadSent).orElse(false);
    }

    private void onModelTooLate(long expectedMillis) {
        if (!mResponder.isDone() && mAttempt.isEmpty()) {
            mRetryAfterMillis = Math.max(CallAdmission.RETRY_AFTER_MILLIS, expectedMillis);
            fail(ResultCode.DEADLINE_INFEASIBLE, "the model needs " + expectedMillis + " ms");
        }
    }

    /** Dispatches the call if it waits for a model that a server holds now. */
    void onHoldingsChanged() {
        if (mModelWait.isWaiting() && mAttempt.isEmpty() && mSelector.hasCandidates(mService)) {
            mModelWait.end();
            dispatch();
        }
    }

    /** Called when the controller has named a server that holds a model. */
    void onModelGranted(ModelTarget target) {
        if (!mModelWait.isWaiting() || !mRequest.head().target().equals(Optional.of(target))) {
            return;
        }
        mModelWait.end();
        if (mSelector.hasCandidates(mService)) {
            dispatch();
        } else {
            // This process's directory does not list the server yet, or no longer lists it.
            scheduleDispatch(DIRECTORY_DELAY_MILLIS);
        }
    }

    /** Called when an attempt failed before the call was sent, so that the call did not run. */
    void onNotSent(Attempt attempt, String reason) {
        onNotRun(attempt, reason, false);
    }

    /** Called when the server refused the call and proved that it did not run there. */
    void onRefused(Attempt attempt, String reason, boolean busy) {
        mHistory.recordArrival();
        onNotRun(attempt, reason, busy);
    }

    private void onNotRun(Attempt attempt, String reason, boolean busy) {
        mAttempt = Optional.empty();
        mHistory.recordEnd(reason);
        mLog.logSendFailed(attempt.server().id(), "not_run", reason);
        if (mHistory.isExhausted()) {
            fail(ResultCode.QUEUE_FULL, "not run after " + mHistory.sends() + " sends: " + reason);
        } else if (busy) {
            scheduleDispatch(BUSY_DELAY_MILLIS);
        } else {
            dispatch();
        }
    }

    /** Records a refusal; returns whether the server refused this call before, as in an unload. */
    boolean recordRefusal(ServerIncarnation incarnation) {
        return mHistory.recordRefusal(incarnation);
    }

    /** Records a server that does not serve the model although it was expected to hold it. */
    void onNotHeld(ServerIncarnation incarnation) {
        mModelWait.recordNotHeldBy(incarnation);
    }

    /** Called when an attempt failed and the call may have run. */
    void onMayHaveRun(Attempt attempt, String reason, Optional<FullResponse> errorResponse) {
        mResponder.setErrorResponse(errorResponse);
        recordPossibleRun(attempt, reason);
        if (canRepeat(mHistory.possibleRunCount())) {
            mRelay.ifPresent(StreamRelay::prepareNextAttempt);
            dispatch();
        } else {
            fail(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    private void recordPossibleRun(Attempt attempt, String reason) {
        mAttempt = Optional.empty();
        mHistory.recordEnd(reason);
        mHistory.recordPossibleRun();
        mLog.logSendFailed(attempt.server().id(), "may_have_run", reason);
    }

    /**
     * Cancels an attempt whose server is silent and sends the call to another server, if all that
     * the next send needs is granted now: the call may be repeated, a server can take it, and the
     * retry budget is not exhausted. Otherwise the attempt continues.
     *
     * @return whether the call was sent to another server
     */
    boolean moveFromSilent(Attempt attempt, String reason) {
        if (!canRepeat(mHistory.possibleRunCount() + 1)
                || mAdmission.promptBlockedUntil().isPresent()) {
            return false;
        }
        Optional<Candidate> next = mSelector.alternative(mService, attempt.server().incarnation());
        if (next.isEmpty() || !tryAcquireResend()) {
            return false;
        }
        attempt.cancel();
        recordPossibleRun(attempt, reason);
        mRelay.ifPresent(StreamRelay::prepareNextAttempt);
        start(next.get());
        return true;
    }

    private boolean canRepeat(int possibleRuns) {
        return route().isIdempotent()
                && possibleRuns < route().maxAttempts()
                && !mHistory.isExhausted()
                && deadline().remainingMillis(now()) >= CallAdmission.MIN_REMAINING_MILLIS
                && (!isStreamBegun() || mRelay.get().canResume());
    }

    void onFullResponse(FullResponse response) {
        mAttempt = Optional.empty();
        if (!mResponder.isDone()) {
            mResponder.forward(response);
        }
    }

    void onStreamEnd() {
        mAttempt = Optional.empty();
        if (!mResponder.isDone()) {
            mResponder.endStream(mRelay.orElseThrow());
        }
    }

    /** Aborts a response that has begun; else sends the server's error response or a local one. */
    private void fail(ResultCode code, String reason) {
        if (mResponder.isDone()) {
            return;
        }
        mAttempt.ifPresent(Attempt::cancel);
        if (isStreamBegun()) {
            mResponder.abort(reason);
        } else {
            mResponder.fail(code, reason, mRetryAfterMillis, deadline());
        }
    }

    /** Refuses the call, so that its caller can retry, unless it is being sent or may have run. */
    void refuseIfWaiting() {
        if (mAttempt.filter(Attempt::mayHaveRun).isEmpty() && mHistory.possibleRunCount() == 0) {
            abandon();
        }
    }

    /** Ends the call because the process stops; the response says whether it may have run. */
    void abandon() {
        end(ResultCode.AGENT_LEAVING, "the process stops");
    }

    /** Fails the call after recording whether the current attempt may have run it. */
    private void end(ResultCode code, String reason) {
        mAttempt.filter(Attempt::mayHaveRun).ifPresent(attempt -> mHistory.recordPossibleRun());
        fail(code, reason);
    }

    /** Applies a changed timeout and checks the deadline and the attempt; called periodically. */
    void tick() {
        if (mResponder.isDone()) {
            return;
        }
        mRoute.ifPresent(route -> mDeadline.refresh(route, mContext.view().get()));
        if (deadline().isPast(now())) {
            end(ResultCode.DEADLINE_PASSED, "the deadline passed; last: " + mHistory.lastReason());
        } else if (mAttempt.isPresent()) {
            mAttempt.get().tick();
        } else if (!isStreamBegun() && mModelWait.mustRefuse(now())) {
            fail(ResultCode.DEADLINE_INFEASIBLE, "no server holds the model yet");
        }
    }

    /** Pauses or resumes reading from the server, depending on whether the caller keeps up. */
    void setReadingPaused(boolean paused) {
        mAttempt.ifPresent(attempt -> attempt.setReadingPaused(paused));
    }

    /** Called when the caller has closed its connection; the call is cancelled. */
    void onCallerDisconnected() {
        if (!mResponder.isDone()) {
            mResponder.recordCallerLeft();
            mAttempt.ifPresent(Attempt::cancel);
            mAttempt = Optional.empty();
        }
    }
}

package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.Candidate;
import org.cornelway.result.ResultCode;

/**
 * Sends one call to a server, or lets it wait for its model or for a server that goes on with its
 * stream. Ends the call if it can do neither. Confined to the traffic thread; lives as long as its
 * call.
 */
final class CallDispatch {
    /** Delay before dispatching again if the directory lacks the server the controller named. */
    private static final long DIRECTORY_DELAY_MILLIS = 60;

    /** Delay before a stream that has begun and that no server can take now is dispatched again. */
    private static final long RESEND_DELAY_MILLIS = 100;

    private final CallerRequest mRequest;
    private final CallHandler mCall;
    private final SendHistory mHistory;
    private final ServerSelector mSelector;
    private final CallAdmission mAdmission;
    private final ModelWait mModelWait;
    private final CallOverload mOverload;

    CallDispatch(
            TrafficContext context,
            CallerRequest request,
            CallHandler call,
            SendHistory history,
            ServerSelector selector,
            CallAdmission admission) {
        mRequest = request;
        mCall = call;
        mHistory = history;
        mSelector = selector;
        mAdmission = admission;
        mModelWait = new ModelWait(context, request, history);
        mOverload =
                new CallOverload(
                        context,
                        request,
                        history,
                        () -> mCall.guard().run(this::dispatch),
                        rejection -> mCall.guard().run(() -> reject(rejection)));
    }

    /** Decides whether the call is delayed or refused. */
    CallOverload overload() {
        return mOverload;
    }

    /** Sends the call, lets it wait, or ends it. */
    void dispatch() {
        if (mCall.isDone()
                || !mCall.attempts().isEmpty()
                || mCall.endIfKeyRemoved()
                || !isWithinQuota()) {
            return;
        }
        List<Candidate> candidates = mSelector.candidates(mCall.service());
        mSelector.requestPermits(mCall.service(), candidates);
        boolean mayRequestModel = canUseAnotherEngine() && !mModelWait.wasRequested();
        Optional<CallAdmission.Rejection> rejection =
                mAdmission.check(mCall.service(), mCall.deadline(), candidates, mayRequestModel);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        boolean allSuspect = candidates.stream().allMatch(Candidate::suspect);
        if (canUseAnotherEngine()
                && (candidates.isEmpty() || allSuspect && !mModelWait.wasRequested())) {
            // If all holders are suspect, the controller is asked once for another server.
            candidates.stream()
                    .findFirst()
                    .ifPresent(c -> recordNotHeldBy(c.server().incarnation()));
            requestModel();
            return;
        }
        rejection = mOverload.check(mCall.service(), mCall.terms(), candidates, mCall.deadline());
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        if (mOverload.isHeld()) {
            return;
        }
        String noServer = "no backend server of " + mCall.service();
        mSelector
                .choose(candidates)
                .ifPresentOrElse(this::send, () -> waitOrFail(ResultCode.NO_REPLICA, noServer));
    }

    /** Whether the call has the tokens of its quota; if not, requests them to dispatch it then. */
    private boolean isWithinQuota() {
        CallGuard guard = mCall.guard();
        return mCall.quota()
                .isReadyOrRequest(
                        mCall.terms().customer(),
                        () -> guard.run(this::dispatch),
                        millis -> guard.run(() -> mCall.refuseForQuota(millis)));
    }

    /** Whether the call is for a model and may go to a server that it has not been sent to. */
    private boolean canUseAnotherEngine() {
        return mRequest.head().target().isPresent() && !mHistory.hasUsedServers();
    }

    /** Ends the call; a stream that has begun tries again, in time to ask for each permit. */
    private void reject(CallAdmission.Rejection rejection) {
        if (mCall.isStreamBegun() && rejection.code() == ResultCode.QUEUE_FULL) {
            dispatchAfter(Math.min(rejection.retryAfterMillis(), RESEND_DELAY_MILLIS));
        } else {
            mCall.ending().setRetryAfterMillis(rejection.retryAfterMillis());
            mCall.ending().fail(rejection.code(), rejection.reason());
        }
    }

    private void send(Candidate chosen) {
        if (!mHistory.hasArrived() || mAdmission.tryAcquireResend(mCall.service())) {
            mCall.start(chosen);
        } else {
            waitOrFail(ResultCode.QUEUE_FULL, "no retry budget after: " + mHistory.lastReason());
        }
    }

    /** Ends the call, unless its caller has a part of a stream and waits for the rest. */
    private void waitOrFail(ResultCode code, String reason) {
        mModelWait.end();
        if (mCall.isStreamBegun()) {
            dispatchAfter(RESEND_DELAY_MILLIS);
        } else {
            mCall.ending().fail(code, reason);
        }
    }

    /** Dispatches the call after a delay, at once if it is 0. */
    void dispatchAfter(long delayMillis) {
        if (delayMillis > 0) {
            mCall.guard().schedule(this::dispatch, delayMillis);
        } else {
            dispatch();
        }
    }

    private void requestModel() {
        mModelWait.request(
                mCall.service(),
                mCall.terms(),
                mCall.deadline(),
                mCall.isStreamBegun(),
                millis -> mCall.guard().run(() -> onModelTooLate(millis)));
    }

    private void onModelTooLate(long expectedMillis) {
        if (!mCall.isDone() && mCall.attempts().isEmpty()) {
            mCall.ending()
                    .setRetryAfterMillis(
                            Math.max(CallAdmission.RETRY_AFTER_MILLIS, expectedMillis));
            waitOrFail(ResultCode.DEADLINE_INFEASIBLE, "the model needs " + expectedMillis + " ms");
        }
    }

    /** Refuses the call if it still waits for its model shortly before its end. */
    void checkModelWait(long nowMillis) {
        if (mModelWait.mustRefuse(nowMillis)) {
            waitOrFail(ResultCode.DEADLINE_INFEASIBLE, "no server holds the model yet");
        }
    }

    /** Records a server that does not serve the model although it was expected to hold it. */
    void recordNotHeldBy(ServerIncarnation incarnation) {
        mModelWait.recordNotHeldBy(incarnation);
    }

    /** Dispatches the call if it waits for a model that a server holds now. */
    void onHoldingsChanged() {
        if (mModelWait.isWaiting()) {
            dispatchIfWaiting();
        }
    }

    /** Whether the call waits for its model, or for a server that goes on with its stream. */
    boolean isWaiting() {
        return mCall.attempts().isEmpty() && (mModelWait.isWaiting() || mCall.isStreamBegun());
    }

    /** Dispatches the call if it waits and a server takes it now. */
    void dispatchIfWaiting() {
        if (isWaiting() && mSelector.hasCandidates(mCall.service())) {
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
        if (mSelector.hasCandidates(mCall.service())) {
            dispatch();
        } else {
            // This process's directory does not list the server yet, or no longer lists it.
            dispatchAfter(DIRECTORY_DELAY_MILLIS);
        }
    }
}

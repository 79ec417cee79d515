package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.Candidate;
import org.cornelway.result.ResultCode;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * Handles one call from its arrival to its response.
 *
 * <p>Invariants: the caller gets exactly one response; a call that is not idempotent is sent again
 * only after proof that it did not run; a response states that the call did not run only if this is
 * proven for each of its sends. Confined to the traffic thread.
 */
final class CallHandler implements Hedging.Sender {
    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final CallerResponse mResponse;
    private final CallLog mLog;
    private final SendHistory mHistory = new SendHistory();
    private final CallCustomer mCustomer;
    private final CallResponder mResponder;
    private final CallEnding mEnding;
    private final CallQuota mQuota;
    private final CallGuard mGuard;
    private final CallAdmission mAdmission;
    private Optional<CallTerms> mTerms = Optional.empty();
    private String mService = "";
    private final CallDeadline mDeadline;
    private final RunningAttempts mAttempts;
    private Optional<StreamRelay> mRelay = Optional.empty();
    private final CallDispatch mDispatch;
    private final ConfigurationWait mConfigurationWait;
    private final Hedging mHedging;

    CallHandler(TrafficContext context, CallerRequest request, CallerResponse response) {
        mContext = context;
        mRequest = request;
        mResponse = response;
        mLog = new CallLog(context, request);
        mCustomer = new CallCustomer(context, request, mLog);
        mQuota = new CallQuota(context, request);
        mResponder = new CallResponder(context, request, response, mHistory, mLog, mQuota);
        mAttempts = new RunningAttempts(mHistory, mLog);
        ServerSelector selector = new ServerSelector(context, request, mHistory, mAttempts);
        mAdmission = new CallAdmission(context, request, selector, mHistory);
        mDeadline = new CallDeadline(request);
        mConfigurationWait =
                new ConfigurationWait(request.arrivedMillis(), request.callerDeadline());
        mEnding =
                new CallEnding(
                        response, mResponder, mAttempts, mHistory, mDeadline, this::isStreamBegun);
        mGuard =
                new CallGuard(
                        context,
                        request.head().requestId(),
                        mEnding::onUnexpectedError,
                        response::abort);
        mDispatch = new CallDispatch(context, request, this, mHistory, selector, mAdmission);
        mHedging = new Hedging(context, mAttempts, mHistory, mLog, mGuard, this);
    }

    /**
     * Finds the route and dispatches the call. If the traffic thread is late, reads the caller's
     * connection once more before, since the caller may have left already.
     */
    void start() {
        if (mContext.loopDelay().isLate()) {
            mGuard.afterNextRead(this::beginFirst);
        } else {
            beginFirst();
        }
    }

    private void beginFirst() {
        begin();
        if (mConfigurationWait.isWaiting()) {
            mContext.metrics().counter("calls.waited_for_configuration").inc();
        }
    }

    private void begin() {
        if (mResponder.isDone()) {
            return;
        }
        TrafficView view = mContext.view().get();
        if (view.routes().isEmpty() && mConfigurationWait.begin(now())) {
            return;
        }
        mTerms = CallRouting.findOrRespond(view, mRequest, mCustomer, mResponder);
        if (mTerms.isEmpty()) {
            return;
        }
        Route route = route();
        mResponder.setRoute(route);
        mHistory.limitServers(route.maxAttempts());
        mService = route.selectService(mRequest.head().requestId().hashCode());
        mContext.retryBudget().recordCall(mService);
        if (route.kind() == CallKind.STREAM) {
            mRelay = Optional.of(new StreamRelay(mResponse, mRequest.head().lastEventId()));
        }
        mContext.usage().recordCall(mRequest.head().target(), route.targetLatencyMillis());
        mDeadline.apply(route, view.configurationVersion());
        mDispatch.dispatch();
    }

    /** Runs the steps of this call. */
    CallGuard guard() {
        return mGuard;
    }

    /** Ends this call without a complete answer. */
    CallEnding ending() {
        return mEnding;
    }

    private long now() {
        return mContext.clock().nowMillis();
    }

    CallTerms terms() {
        return mTerms.orElseThrow();
    }

    @Override
    public Route route() {
        return terms().route();
    }

    /** Returns the customer of the call. */
    CallCustomer customer() {
        return mCustomer;
    }

    /**
     * Ends the call, which has no attempt, if it may no longer be sent; returns whether it does.
     */
    boolean endIfKeyRemoved() {
        if (mTerms.isEmpty() || mCustomer.maySend(route())) {
            return false;
        }
        CustomerPolicy.Refusal refusal = CustomerPolicy.Refusal.KEY_REMOVED;
        mCustomer.recordRefusal(refusal);
        mEnding.fail(ResultCode.UNKNOWN_KEY, refusal.reason());
        return true;
    }

    /** Returns the service that the call is routed to; empty before. */
    String service() {
        return mService;
    }

    /** The tokens of the call. */
    CallQuota quota() {
        return mQuota;
    }

    /** Ends the call since it is beyond its customer's quota. */
    void refuseForQuota(long retryAfterMillis) {
        mResponder.refuseForQuota(retryAfterMillis);
    }

    /** Whether the call has ended. */
    boolean isDone() {
        return mResponder.isDone();
    }

    Deadline deadline() {
        return mDeadline.get();
    }

    CallLog log() {
        return mLog;
    }

    CallOverload overload() {
        return mDispatch.overload();
    }

    Optional<StreamRelay> relay() {
        return mRelay;
    }

    @Override
    public Attempt start(Candidate chosen) {
        mHistory.recordSend(chosen.server().id());
        Attempt attempt = new Attempt(mContext, this, mRequest, chosen.server(), mHistory);
        mAttempts.add(attempt);
        mLog.logSend(mHistory.sends(), chosen, deadline().remainingMillis(now()));
        attempt.start();
        return attempt;
    }

    /** Returns the headers with which the call is sent to a server now. */
    ForwardedHeaders forwardedHeaders(String serverId) {
        Optional<Integer> priority =
                mRequest.head().target().map(target -> overload().enginePriority(terms()));
        return new ForwardedHeaders(
                serverId,
                deadline().remainingMillis(now()),
                priority,
                mRelay.flatMap(StreamRelay::resumeAfter),
                mCustomer.identity());
    }

    /** Whether the caller has received a part of a stream. */
    boolean isStreamBegun() {
        return mRelay.map(StreamRelay::isHeadSent).orElse(false);
    }

    /**
     * Dispatches the call if it waits for the first configuration, or for a model that a server
     * holds now.
     */
    void onHoldingsChanged() {
        if (mConfigurationWait.isWaiting() && mContext.view().get().routes().isPresent()) {
            mConfigurationWait.end();
            begin();
            return;
        }
        mDispatch.onHoldingsChanged();
    }

    /** Whether the call waits for its model, or for a server that goes on with its stream. */
    boolean isWaiting() {
        return mDispatch.isWaiting();
    }

    /** Dispatches the call if it waits and a server takes it now. */
    void dispatchIfWaiting() {
        mDispatch.dispatchIfWaiting();
    }

    /** Called when the controller has named a server that holds a model. */
    void onModelGranted(ModelTarget target) {
        mDispatch.onModelGranted(target);
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
        mAttempts.endNotRun(attempt, reason);
        if (!mAttempts.isEmpty()) {
            mHedging.onEnded(true);
            return;
        }
        if (endIfKeyRemoved()) {
            return;
        }
        String failure = "not run after " + mHistory.sends() + " sends: " + reason;
        mAdmission
                .delayAfterNotRun(isStreamBegun(), busy)
                .ifPresentOrElse(
                        mDispatch::dispatchAfter,
                        () -> mEnding.fail(ResultCode.QUEUE_FULL, failure));
    }

    /** Records a server that does not serve the model although it was expected to hold it. */
    void onNotHeld(ServerIncarnation incarnation) {
        mDispatch.recordNotHeldBy(incarnation);
    }

    /** Called when an attempt failed and the call may have run. */
    void onMayHaveRun(Attempt attempt, String reason, Optional<FullResponse> errorResponse) {
        mResponder.setErrorResponse(errorResponse);
        mAttempts.endMayHaveRun(attempt, reason);
        if (mAttempts.isEmpty()) {
            repeatOrFail(reason);
        } else {
            mHedging.onEnded(false);
        }
    }

    @Override
    public void repeatOrFail(String reason) {
        if (mAdmission.canRepeat(route(), deadline(), mRelay, 0)) {
            mDispatch.dispatch();
        } else {
            mEnding.fail(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    @Override
    public Optional<Candidate> acquireAlternative(Attempt silent, boolean early) {
        return mCustomer.maySend(route()) && mAdmission.canRepeat(route(), deadline(), mRelay, 1)
                ? mAdmission.acquireAlternative(mService, silent.server().incarnation(), early)
                : Optional.empty();
    }

    /**
     * Ends an attempt after an unexpected error if another one goes on with the call.
     *
     * @return whether another one does
     */
    boolean endBesideOther(Attempt attempt, String reason) {
        if (!mAttempts.isHedged() || !mAttempts.contains(attempt)) {
            return false;
        }
        mAttempts.cancel(attempt, reason);
        mHedging.onEnded(false);
        return true;
    }

    RunningAttempts attempts() {
        return mAttempts;
    }

    @Override
    public boolean hasErrorResponse() {
        return mResponder.hasErrorResponse();
    }

    /** Called when a server has answered; an error of a hedge does not end the call. */
    void onFullResponse(Attempt attempt, FullResponse response) {
        if (mAttempts.isHedge(attempt) && response.isError()) {
            onMayHaveRun(attempt, "failed with " + response.status(), Optional.of(response));
            return;
        }
        mAttempts.cancelOther(attempt);
        mAttempts.remove(attempt);
        if (!mResponder.isDone()) {
            mResponder.forward(response);
        }
    }

    void onStreamEnd(Attempt attempt, HttpResponseStatus status, HttpHeaders headers) {
        mAttempts.cancelOther(attempt);
        mAttempts.remove(attempt);
        if (!mResponder.isDone()) {
            StreamRelay relay = mRelay.orElseThrow();
            relay.ensureHeadSent(status, headers);
            mResponder.endStream(relay);
        }
    }

    /** Applies a changed timeout and checks the deadline and the attempt; called periodically. */
    void tick() {
        if (mResponder.isDone()) {
            return;
        }
        mTerms.ifPresent(t -> mDeadline.refresh(t.route(), mContext.view().get()));
        if (deadline().isPast(now())) {
            mEnding.end(
                    ResultCode.DEADLINE_PASSED,
                    "the deadline passed; last: " + mHistory.lastReason());
        } else if (mConfigurationWait.end()) {
            begin();
        } else if (!mAttempts.isEmpty()) {
            mAttempts.forEach(mHedging::tick);
        } else if (!endIfKeyRemoved()) {
            mDispatch.checkModelWait(now());
        }
    }

    /** Pauses or resumes reading from the server, depending on whether the caller keeps up. */
    void setReadingPaused(boolean paused) {
        mAttempts.setReadingPaused(paused);
    }
}

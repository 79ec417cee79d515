package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.Candidate;
import org.cornelway.result.ResultCode;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;
import org.cornelway.time.Deadline;

/**
 * Takes one call of a caller to its end.
 *
 * <p>Invariants: the caller gets exactly one answer; a call that may not be repeated is sent again
 * only after proof that it did not run; an answer says "not run" only if every send has that proof.
 * Confined to the traffic thread; lives from the arrival of the call to its answer.
 */
final class Exchange {
    /** Sends of one call, refused ones included. */
    private static final int MAX_SENDS = 5;

    /** Time left below which another send cannot succeed. */
    private static final long LEAST_REMAINING_MILLIS = 25;

    /** Pauses before a call goes again to an engine that is busy, and to an unknown one. */
    private static final long BUSY_PAUSE_MILLIS = 30;

    private static final long GRANT_PAUSE_MILLIS = 60;

    private static final long COME_BACK_MILLIS = 300;

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final CallerResponse mAnswer;
    private final CallLog mLog;
    private final SendHistory mHistory = new SendHistory();
    private Optional<Route> mRoute = Optional.empty();
    private String mService = "";
    private Deadline mDeadline;
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<StreamRelay> mRelay = Optional.empty();
    private Optional<FullResponse> mFailure = Optional.empty();
    private Optional<ServerIncarnation> mNotHeldBy = Optional.empty();
    private long mComeBackMillis = COME_BACK_MILLIS;
    private long mVersion;
    private boolean mAsking;
    private boolean mAsked;
    private boolean mDone;

    Exchange(TrafficContext context, CallerRequest request, CallerResponse answer) {
        mContext = context;
        mRequest = request;
        mAnswer = answer;
        mLog = new CallLog(context, request);
        mDeadline = request.callerDeadline();
    }

    /** Finds the route and sends the call on its way. */
    void start() {
        TrafficView view = mContext.view().get();
        if (view.routes().isEmpty()) {
            refuse(ResultCode.NOT_CONFIGURED, "no configuration is known yet", COME_BACK_MILLIS);
            return;
        }
        mVersion = view.version();
        RouteTable routes = view.routes().get();
        mRoute = routes.find(mRequest.head().host(), mRequest.message().uri());
        if (mRoute.isEmpty()) {
            finishOwn(
                    HttpResponseStatus.NOT_FOUND,
                    ResultCode.UNKNOWN_SERVICE,
                    "no route for this host and path",
                    0);
            return;
        }
        Route route = mRoute.get();
        mService = route.selectService(mRequest.head().requestId().hashCode());
        mContext.retryBudget().recordCall(mService);
        if (route.kind() == CallKind.STREAM) {
            mRelay = Optional.of(new StreamRelay(mAnswer, mRequest.head().lastEventId()));
        }
        mContext.usage().recordCall(mRequest.head().target(), route.targetLatencyMillis());
        followTimeout(route);
        dispatch();
    }

    private void followTimeout(Route route) {
        Deadline byRoute = Deadline.after(mRequest.arrivedMillis(), route.timeoutMillis());
        Deadline byCaller = mRequest.callerDeadline();
        mDeadline = byRoute.compareTo(byCaller) < 0 ? byRoute : byCaller;
    }

    private long now() {
        return mContext.clock().nowMillis();
    }

    Route route() {
        return mRoute.orElseThrow();
    }

    Deadline deadline() {
        return mDeadline;
    }

    Optional<StreamRelay> relay() {
        return mRelay;
    }

    private void dispatch() {
        if (mDone || mAttempt.isPresent()) {
            return;
        }
        if (mDeadline.remainingMillis(now()) < LEAST_REMAINING_MILLIS) {
            giveUp(ResultCode.DEADLINE_PASSED, "no time left to send the call");
            return;
        }
        Optional<ModelTarget> target = mRequest.head().target();
        List<Candidate> candidates = holders().stream().map(mContext.loads()::candidate).toList();
        boolean allSuspect = candidates.stream().allMatch(Candidate::suspect);
        if (target.isPresent() && (candidates.isEmpty() || allSuspect && !mAsked)) {
            candidates.stream().findFirst().ifPresent(c -> onNotHeld(c.server().incarnation()));
            askForModel(target.get());
            return;
        }
        Optional<Candidate> chosen =
                mContext.chooser()
                        .choose(candidates, mRequest.head().sharedPrefixHash(), mHistory.tried());
        if (chosen.isPresent()) {
            send(chosen.get());
        } else {
            giveUp(ResultCode.NO_REPLICA, "no backend server of " + mService);
        }
    }

    private void send(Candidate chosen) {
        int processes = mContext.view().get().processes();
        if (mHistory.hasArrived() && !mContext.retryBudget().tryAcquire(mService, processes)) {
            giveUp(ResultCode.QUEUE_FULL, "no retry budget after: " + mHistory.lastReason());
            return;
        }
        mHistory.recordSend(chosen.server().id());
        Attempt attempt = new Attempt(mContext, this, mRequest, chosen.server());
        mAttempt = Optional.of(attempt);
        mLog.sent(mHistory.sends(), chosen, mDeadline.remainingMillis(now()));
        attempt.start();
    }

    private void askForModel(ModelTarget target) {
        if (mAsking) {
            return;
        }
        mAsking = true;
        mAsked = true;
        mContext.modelRequester()
                .requestModel(
                        new ModelRequester.Request(
                                mService, target, firstEventBy(), route().priority(), mNotHeldBy),
                        this::modelTooLate);
    }

    /** A caller leaves a stream that has no event for long, so a model must come before that. */
    private Deadline firstEventBy() {
        boolean begun = mRelay.map(StreamRelay::hasBegun).orElse(false);
        long from = begun ? now() : mRequest.arrivedMillis();
        Deadline patience = Deadline.after(from, route().streamSilenceTimeoutMillis());
        return patience.compareTo(mDeadline) < 0 ? patience : mDeadline;
    }

    private void modelTooLate(long expectedMillis) {
        if (!mDone && mAttempt.isEmpty()) {
            mComeBackMillis = Math.max(COME_BACK_MILLIS, expectedMillis);
            giveUp(ResultCode.DEADLINE_INFEASIBLE, "the model needs " + expectedMillis + " ms");
        }
    }

    /** Looks again for a server, since a model may have come somewhere. */
    void onHoldingsChanged() {
        if (mAsking && mAttempt.isEmpty() && !holders().isEmpty()) {
            mAsking = false;
            dispatch();
        }
    }

    private List<ServerRecord> holders() {
        List<ServerRecord> usable = mContext.view().get().directory().usable(mService);
        return mRequest.head()
                .target()
                .map(target -> mContext.holdings().holders(usable, target))
                .orElse(usable);
    }

    /** The controller named a server that holds a model. */
    void onModelGranted(ModelTarget target) {
        if (!mAsking || !mRequest.head().target().equals(Optional.of(target))) {
            return;
        }
        mAsking = false;
        if (holders().isEmpty()) {
            // The server is not in this process's directory, or not any more.
            mContext.loop().schedule(this::dispatch, GRANT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            dispatch();
        }
    }

    /** The attempt proved that the call did not run, since it never reached its server. */
    void onNotSent(Attempt attempt, String reason) {
        onNotRun(attempt, reason, false);
    }

    /** The server proved that the call did not run there. */
    void onRefused(Attempt attempt, String reason, boolean busy) {
        mHistory.recordArrival();
        onNotRun(attempt, reason, busy);
    }

    private void onNotRun(Attempt attempt, String reason, boolean busy) {
        mAttempt = Optional.empty();
        mHistory.recordEnd(reason);
        mLog.sendEnded(attempt.server().id(), "not_run", reason);
        if (mHistory.sends() >= MAX_SENDS) {
            giveUp(
                    ResultCode.QUEUE_FULL,
                    "not run after " + mHistory.sends() + " sends: " + reason);
        } else if (busy) {
            mContext.loop().schedule(this::dispatch, BUSY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            dispatch();
        }
    }

    /** Whether a server refused the call before: then an order is dropping the model there. */
    boolean recordRefusal(ServerIncarnation life) {
        return mHistory.recordRefusal(life);
    }

    /** Notes that a model was refused by a server that was believed to hold it. */
    void onNotHeld(ServerIncarnation life) {
        mNotHeldBy = Optional.of(life);
    }

    /** The attempt failed, and the call may have run. */
    void onMayHaveRun(Attempt attempt, String reason, Optional<FullResponse> failure) {
        mAttempt = Optional.empty();
        mHistory.recordEnd(reason);
        mHistory.recordPossibleRun();
        mFailure = failure;
        mLog.sendEnded(attempt.server().id(), "may_have_run", reason);
        if (canRepeat(mHistory.possibleRunCount())) {
            mRelay.ifPresent(StreamRelay::dropPartial);
            dispatch();
        } else {
            giveUp(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    /** Whether the call could go to another server if the attempt under way failed. */
    boolean canRepeat() {
        return canRepeat(mHistory.possibleRunCount() + 1);
    }

    /** Whether a server other than one can take the call at once. */
    boolean hasAlternative(ServerIncarnation besides) {
        return holders().stream()
                .map(ServerRecord::incarnation)
                .anyMatch(life -> !life.equals(besides) && !mContext.loads().isSuspect(life));
    }

    private boolean canRepeat(int mayHaveRun) {
        boolean begun = mRelay.map(StreamRelay::hasBegun).orElse(false);
        return route().isIdempotent()
                && mayHaveRun < route().maxAttempts()
                && mHistory.sends() < MAX_SENDS
                && mDeadline.remainingMillis(now()) >= LEAST_REMAINING_MILLIS
                && (!begun || mRelay.get().canResume());
    }

    /** A whole answer came that the caller gets as it is. */
    void onFullResponse(FullResponse reply) {
        mAttempt = Optional.empty();
        pass(reply);
    }

    private void pass(FullResponse reply) {
        if (mDone) {
            return;
        }
        done("answered", reply.status().code(), "");
        mAnswer.sendFull(reply.status(), reply.headers(), reply.body());
    }

    /** A stream ended whole. */
    void onStreamEnd() {
        mAttempt = Optional.empty();
        if (!mDone) {
            done("streamed", HttpResponseStatus.OK.code(), "");
            mRelay.orElseThrow().end();
        }
    }

    /** Ends the call without a server's answer, or with the failure that a server gave. */
    private void giveUp(ResultCode code, String reason) {
        if (mDone) {
            return;
        }
        mAttempt.ifPresent(Attempt::cancel);
        if (mRelay.map(StreamRelay::hasBegun).orElse(false)) {
            done("cut", 0, reason);
            mAnswer.abort();
        } else if (mFailure.isPresent()) {
            pass(mFailure.get());
        } else if (mHistory.possibleRunCount() == 0) {
            refuse(code, reason, mComeBackMillis);
        } else {
            boolean late = mDeadline.isPast(now());
            finishOwn(
                    late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                    late ? ResultCode.DEADLINE_PASSED_RUNNING : ResultCode.OUTCOME_UNKNOWN,
                    reason,
                    0);
        }
    }

    /** Refuses a call that has not run and never will. */
    private void refuse(ResultCode code, String reason, long retryAfterMillis) {
        finishOwn(HttpResponseStatus.SERVICE_UNAVAILABLE, code, reason, retryAfterMillis);
    }

    private void finishOwn(
            HttpResponseStatus status, ResultCode code, String reason, long retryAfterMillis) {
        done("own", status.code(), code + ": " + reason);
        LocalResponse.write(
                mContext.codec(), mRequest, mAnswer, status, code, reason, retryAfterMillis);
    }

    private void done(String how, int status, String reason) {
        mDone = true;
        mLog.done(mRoute, how, status, mHistory.sends(), reason);
    }

    /** Refuses the call if it waits and cannot have run: another process can take it. */
    void refuseWaiting() {
        if (mAttempt.isEmpty() && mHistory.possibleRunCount() == 0) {
            abandon();
        }
    }

    /** Ends the call because the process stops; the answer says what is known. */
    void abandon() {
        end(ResultCode.AGENT_LEAVING, "the process stops");
    }

    private void end(ResultCode code, String reason) {
        mAttempt.filter(Attempt::mayHaveRun).ifPresent(attempt -> mHistory.recordPossibleRun());
        giveUp(code, reason);
    }

    /** Called a few times a second: deadlines, silent servers, changed timeouts. */
    void tick() {
        if (mDone) {
            return;
        }
        followConfiguration();
        if (mDeadline.isPast(now())) {
            end(ResultCode.DEADLINE_PASSED, "the deadline passed; last: " + mHistory.lastReason());
        } else {
            mAttempt.ifPresent(Attempt::tick);
        }
    }

    /** A change of a route's timeout also holds for the calls under way. */
    private void followConfiguration() {
        TrafficView view = mContext.view().get();
        if (view.version() == mVersion || mRoute.isEmpty()) {
            return;
        }
        mVersion = view.version();
        view.route(mRoute.get().name()).ifPresent(this::followTimeout);
    }

    /** Stops or goes on reading from the server while the caller does not read. */
    void pause(boolean paused) {
        mAttempt.ifPresent(attempt -> attempt.pause(paused));
    }

    /** The caller closed its connection: nobody waits for the answer. */
    void onCallerDisconnected() {
        if (!mDone) {
            done("left", 0, "the caller left");
            mAttempt.ifPresent(Attempt::cancel);
            mAttempt = Optional.empty();
        }
    }
}

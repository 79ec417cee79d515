package org.cornelway.entry;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.exchange.Outcome;
import org.cornelway.platform.Member;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.Chunk;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.WithdrawReply;

/**
 * Runs one caller's request: submits it to an agent, passes the answer to the caller's sink, and
 * recovers from lost calls and lost agents.
 *
 * <p>Invariants: the sink's end is called exactly once; a request that may not be repeated is
 * submitted again only after proof that it did not run, or if the agents' intent log keeps it from
 * running twice; "not run" is reported only if it holds for every attempt.
 *
 * <p>Confined to one worker of the traffic scheduler; lives until the outcome has been delivered.
 */
public final class EntryExchange {
    private static final Logger LOG = LogManager.getLogger(EntryExchange.class);
    private static final long CHECK_MILLIS = 250;
    private static final long SILENCE_TIMEOUT_MILLIS = 1_500;
    private static final long ATTACH_BACKOFF_MILLIS = 100;
    private static final int RECORDED_CALLS_BEFORE_FAILOVER = 3;
    private static final int INITIAL_BACKOFF_MILLIS = 20;
    private static final int MAX_BACKOFF_MILLIS = 400;

    private final EntryRequest mRequest;
    private final CallerSink mSink;
    private final EntryContext mContext;
    private final Runnable mOnEnd;
    private final GuardedWorker mWorker;
    private final SerialDisposable mCall = new SerialDisposable();
    private final AgentSelector mSelector;
    private Optional<RequestAttempt> mAttempt = Optional.empty();
    private int mAttemptCount;
    private int mRefusalCount;
    private boolean mChunkDelivered;
    private boolean mEarlierAttemptMayHaveRun;
    private boolean mEnded;

    /**
     * @param onEnd runs after the outcome has been delivered
     */
    public EntryExchange(
            EntryRequest request, CallerSink sink, EntryContext context, Runnable onEnd) {
        mRequest = request;
        mSink = sink;
        mContext = context;
        mOnEnd = onEnd;
        mSelector = new AgentSelector(request, context);
        mWorker = new GuardedWorker(context.scheduler().createWorker(), this::onUnexpectedError);
    }

    /** Starts the exchange. Must be called only once. */
    public void start() {
        long remainingMillis = mRequest.deadline().remainingMillis(now());
        mWorker.schedule(this::submit);
        mWorker.schedule(this::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        mWorker.schedulePeriodically(
                this::checkSilence, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Withdraws the request because the caller has disconnected. */
    public void cancel() {
        mWorker.schedule(
                () -> {
                    if (!mEnded) {
                        withdraw();
                        end(Outcome.failed(ResultCode.OUTCOME_UNKNOWN, "the caller disconnected"));
                    }
                });
    }

    private void submit() {
        if (mEnded) {
            return;
        }
        Optional<Member> agent = mSelector.choose();
        if (agent.isEmpty()) {
            retryOrRefuse(ResultCode.NO_REPLICA, "no live backend server for the request");
            return;
        }
        mAttemptCount++;
        RequestAttempt attempt =
                new RequestAttempt(
                        mRequest.id() + "-" + mAttemptCount,
                        agent.get(),
                        mContext.loads().incarnation(agent.get().id()),
                        now());
        mAttempt = Optional.of(attempt);
        mContext.loads().recordRequestStarted(agent.get().id());
        LOG.debug("submitting attempt {} to agent {}", attempt.id(), agent.get().id());
        call(attempt, false, false);
    }

    private void call(RequestAttempt attempt, boolean attach, boolean reconnect) {
        attempt.recordCall(now());
        ExchangeRequest request =
                mRequest.template().toBuilder()
                        .setRequestId(attempt.id())
                        .setAttach(attach)
                        .setNextSequence(attempt.frameSequence().nextSequence())
                        .setConfigurationRevision(mContext.revisions().configurationRevision())
                        .setPlacementRevision(mContext.revisions().placementRevision())
                        .build();
        int callNumber = attempt.callCount();
        FrameListener listener =
                new FrameListener() {
                    @Override
                    public void onFrame(Frame frame) {
                        mWorker.schedule(() -> handleFrame(attempt, frame));
                    }

                    @Override
                    public void onCallEnded(boolean notSent, String reason) {
                        mWorker.schedule(() -> callFailed(attempt, callNumber, notSent, reason));
                    }
                };
        mCall.set(mContext.gateway().exchange(attempt.agent(), request, listener, reconnect));
    }

    private boolean isCurrent(RequestAttempt attempt) {
        return !mEnded && mAttempt.isPresent() && mAttempt.get() == attempt;
    }

    private void handleFrame(RequestAttempt attempt, Frame frame) {
        if (!isCurrent(attempt)) {
            mContext.metrics().counter("entry.frames.late").inc();
            return;
        }
        attempt.recordFrame(now());
        if (frame.hasLoad()) {
            Member agent = attempt.agent();
            mContext.loads().recordReport(agent.id(), mRequest.target().model(), frame.getLoad());
            mContext.revisions().onAgentLoad(agent, frame.getLoad());
        }
        if (frame.hasChunk()) {
            onChunk(attempt, frame.getRequestId(), frame.getChunk());
        } else if (frame.hasFinal()) {
            onFinal(attempt, frame.getRequestId(), frame.getFinal());
        }
    }

    private void onChunk(RequestAttempt attempt, String id, Chunk chunk) {
        switch (attempt.frameSequence().acceptChunk(id, chunk.getSequence())) {
            case DELIVER -> {
                mChunkDelivered = true;
                mContext.metrics().counter("entry.chunks").inc();
                attempt.recordChunk(now(), mContext.loads().slowAgents());
                mSink.onChunk(chunk.getData().toByteArray());
            }
            case GAP -> attach(attempt, "chunks are missing before chunk " + chunk.getSequence());
            default -> mContext.metrics().counter("entry.frames.dropped").inc();
        }
    }

    private void onFinal(RequestAttempt attempt, String id, Final body) {
        ResultCode code = ResultCode.ofNumber(body.getResultCode()).orElse(ResultCode.INTERNAL);
        if (code == ResultCode.UNKNOWN_EXCHANGE) {
            onUnknownExchange(attempt);
            return;
        }
        switch (attempt.frameSequence().acceptFinal(id, body.getChunkCount())) {
            case DELIVER -> onOutcome(attempt, code, body);
            case GAP -> attach(attempt, "chunks are missing, expected " + body.getChunkCount());
            default -> mContext.metrics().counter("entry.frames.dropped").inc();
        }
    }

    private void onOutcome(RequestAttempt attempt, ResultCode code, Final body) {
        endAttempt(attempt);
        boolean notRun = code.executionState() == ResultCode.ExecutionState.NOT_RUN;
        if (notRun) {
            mRefusalCount++;
            mSelector.exclude(attempt.agent());
        }
        if (notRun && RetryPolicy.shouldTryAnotherAgent(code, mRefusalCount)) {
            retryOrRefuse(code, body.getMessage());
            return;
        }
        boolean repeatableFailure = code == ResultCode.BACKEND_FAILED && mRequest.repeatable();
        if (repeatableFailure && mayFailOver() && mContext.retryBudget().tryAcquire()) {
            mEarlierAttemptMayHaveRun = true;
            mSelector.exclude(attempt.agent());
            resetAnswer();
            scheduleSubmit();
            return;
        }
        end(
                new Outcome(
                        body.getChunkCount(),
                        code,
                        body.getMessage(),
                        body.getHttpStatus(),
                        body.getContentType()));
    }

    /** Submits again after a "not run" refusal, if a preset is in force and enough time is left. */
    private void retryOrRefuse(ResultCode code, String message) {
        boolean hasPreset = mContext.view().get().preset().isPresent();
        if (mRequest.deadline().remainingMillis(now()) <= MAX_BACKOFF_MILLIS || !hasPreset) {
            end(Outcome.failed(code, message));
            return;
        }
        scheduleSubmit();
    }

    private void scheduleSubmit() {
        mAttempt = Optional.empty();
        mContext.metrics().counter("entry.retries").inc();
        int doublings = Math.min(mAttemptCount + mRefusalCount, 5);
        int maxMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
        long delayMillis = maxMillis / 2 + mContext.random().applyAsInt(maxMillis / 2 + 1);
        mWorker.schedule(this::submit, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void callFailed(
            RequestAttempt attempt, int callNumber, boolean notSent, String reason) {
        if (!isCurrent(attempt) || callNumber != attempt.callCount()) {
            return;
        }
        mContext.loads().recordUnreachable(attempt.agent().id());
        if (notSent && callNumber == 1) {
            endAttempt(attempt);
            mSelector.exclude(attempt.agent());
            retryOrRefuse(ResultCode.NO_REPLICA, reason);
            return;
        }
        attach(attempt, reason);
    }

    private void checkSilence() {
        mAttempt.filter(attempt -> !mEnded)
                .filter(attempt -> now() - attempt.lastFrameMillis() > SILENCE_TIMEOUT_MILLIS)
                .ifPresent(attempt -> attach(attempt, "silence"));
    }

    /**
     * Attaches on a new connection; after the second reconnect, fails over instead if this is safe
     * and another agent can take the request. Otherwise the agent, which may still run it, is not
     * given up.
     */
    private void attach(RequestAttempt attempt, String reason) {
        mContext.metrics().counter("entry.attaches").inc();
        LOG.info("attempt {} attaches again or fails over: {}", attempt.id(), reason);
        if (attempt.callCount() > RECORDED_CALLS_BEFORE_FAILOVER
                && mayFailOver()
                && mSelector.tryAcquireAlternative(attempt.agent())) {
            giveUp(attempt);
            scheduleSubmit();
            return;
        }
        long delayMillis = ATTACH_BACKOFF_MILLIS * attempt.callCount();
        // Counts a call here in addition to the one that call() counts, so that a late failure of
        // the previous call is ignored and the delay does not count as silence.
        attempt.recordCall(now() + delayMillis);
        int callNumber = attempt.callCount();
        mCall.set(Disposable.empty());
        mWorker.schedule(
                () -> {
                    if (isCurrent(attempt) && attempt.callCount() == callNumber) {
                        call(attempt, true, true);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private boolean mayFailOver() {
        boolean safe = mRequest.repeatable() || mRequest.deduplicated();
        return safe && (!mChunkDelivered || mSink.canReset());
    }

    /** Withdraws an attempt that may have run; the answer starts again from its beginning. */
    private void giveUp(RequestAttempt attempt) {
        withdraw();
        endAttempt(attempt);
        mEarlierAttemptMayHaveRun = true;
        mSelector.exclude(attempt.agent());
        resetAnswer();
    }

    private void resetAnswer() {
        if (mChunkDelivered) {
            mSink.reset();
            mChunkDelivered = false;
        }
    }

    /** Called if the agent does not know the request: it never arrived, or the agent restarted. */
    private void onUnknownExchange(RequestAttempt attempt) {
        if (mayFailOver()) {
            giveUp(attempt);
            if (mSelector.tryAcquireRetry()) {
                scheduleSubmit();
            } else {
                end(Outcome.failed(ResultCode.BACKEND_FAILED, "agent lost, retry budget spent"));
            }
        } else if (mChunkDelivered) {
            end(Outcome.failed(ResultCode.ANSWER_INCOMPLETE, "the agent was restarted"));
        } else {
            withdrawToProveNotRun(attempt);
        }
    }

    private void withdrawToProveNotRun(RequestAttempt attempt) {
        long deadlineMillis = mRequest.deadline().epochMillis();
        mContext.gateway()
                .withdraw(attempt.agent(), attempt.id(), deadlineMillis)
                .subscribe(
                        reply -> mWorker.schedule(() -> onWithdrawReply(attempt, reply)),
                        e -> mWorker.schedule(() -> attach(attempt, "the withdrawal failed")));
    }

    private void onWithdrawReply(RequestAttempt attempt, WithdrawReply reply) {
        if (!isCurrent(attempt)) {
            return;
        }
        boolean sameIncarnation =
                attempt.incarnation().filter(reply.getIncarnation()::equals).isPresent();
        if (reply.getOutcome() == WithdrawReply.Outcome.WITHDRAWN && sameIncarnation) {
            endAttempt(attempt);
            scheduleSubmit();
        } else {
            end(Outcome.failed(ResultCode.OUTCOME_UNKNOWN, "the agent was restarted"));
        }
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        boolean submitted = mAttempt.isPresent();
        withdraw();
        if (!submitted && !mEarlierAttemptMayHaveRun) {
            end(Outcome.failed(ResultCode.DEADLINE_PASSED, "no backend server took it in time"));
        } else if (mRequest.repeatable()) {
            end(Outcome.failed(ResultCode.DEADLINE_PASSED_RUNNING, "deadline passed"));
        } else {
            end(Outcome.failed(ResultCode.OUTCOME_UNKNOWN, "deadline passed before the answer"));
        }
    }

    private void withdraw() {
        mAttempt.ifPresent(
                attempt ->
                        mContext.gateway()
                                .withdraw(
                                        attempt.agent(),
                                        attempt.id(),
                                        mRequest.deadline().epochMillis())
                                .subscribe(reply -> {}, e -> {}));
    }

    private void endAttempt(RequestAttempt attempt) {
        if (mAttempt.isPresent()) {
            mContext.loads().recordRequestEnded(attempt.agent().id());
            mAttempt = Optional.empty();
            mCall.set(Disposable.empty());
        }
    }

    private void end(Outcome outcome) {
        mContext.invariants().check(!mEnded, "request " + mRequest.id() + " ended twice");
        mEnded = true;
        mAttempt.ifPresent(this::endAttempt);
        Outcome reported =
                mEarlierAttemptMayHaveRun
                        ? FailurePolicy.withoutNotRun(outcome, mRequest.repeatable())
                        : outcome;
        mContext.metrics().counter("entry.ended." + reported.code()).inc();
        mSink.onEnd(reported);
        mCall.dispose();
        mOnEnd.run();
        mWorker.dispose();
    }

    /** Ends the request, since a step of it is missing. */
    private void onUnexpectedError(RuntimeException error) {
        if (!mEnded) {
            withdraw();
            end(FailurePolicy.afterError(error, mAttemptCount, mChunkDelivered));
        }
    }

    private long now() {
        return mContext.scheduler().now(TimeUnit.MILLISECONDS);
    }
}

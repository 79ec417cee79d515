package org.cornelway.entry;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
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
 * Brings one request to an agent and its whole answer back.
 *
 * <p>Invariants: the sink's end is called once; a request that may not be repeated is submitted
 * again only after proof that it did not run, or under a key that the intent log guards; "not run"
 * is told only if it holds for every submission.
 *
 * <p>Confined to one worker of the traffic scheduler; lives until the end was told.
 */
public final class EntryExchange {
    private static final Logger LOG = LogManager.getLogger(EntryExchange.class);
    private static final long CHECK_MILLIS = 250;
    private static final long SILENCE_MILLIS = 1_500;
    private static final long ATTACH_BACKOFF_MILLIS = 100;
    private static final int ATTACHES_BEFORE_MOVING_ON = 3;
    private static final int FIRST_BACKOFF_MILLIS = 20;
    private static final int MAX_BACKOFF_MILLIS = 400;

    private final EntryRequest mRequest;
    private final CallerSink mSink;
    private final EntryContext mServices;
    private final Runnable mOnEnd;
    private final Scheduler.Worker mWorker;
    private final SerialDisposable mCall = new SerialDisposable();
    private final Set<String> mExcluded = new HashSet<>();
    private Optional<RequestAttempt> mSubmission = Optional.empty();
    private int mSubmissions;
    private int mRefusals;
    private boolean mDelivered;
    private boolean mMayHaveRun;
    private boolean mEnded;

    /**
     * @param onEnd told after the end
     */
    public EntryExchange(
            EntryRequest request, CallerSink sink, EntryContext services, Runnable onEnd) {
        mRequest = request;
        mSink = sink;
        mServices = services;
        mOnEnd = onEnd;
        mWorker = services.scheduler().createWorker();
    }

    /** Starts; called once. */
    public void start() {
        long left = mRequest.deadline().remainingMillis(now());
        mWorker.schedule(this::submit);
        mWorker.schedule(this::deadlinePassed, left, TimeUnit.MILLISECONDS);
        mWorker.schedulePeriodically(
                this::checkSilence, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The caller went away; withdraws the request. */
    public void cancel() {
        mWorker.schedule(
                () -> {
                    if (!mEnded) {
                        withdraw();
                        end(Outcome.refused(ResultCode.OUTCOME_UNKNOWN, "the caller went away"));
                    }
                });
    }

    private void submit() {
        if (mEnded) {
            return;
        }
        Optional<Member> agent =
                mServices
                        .chooser()
                        .choose(
                                mRequest.target(),
                                mServices.view().get(),
                                mServices.loads(),
                                mExcluded);
        if (agent.isEmpty()) {
            mExcluded.clear();
            refused(ResultCode.NO_REPLICA, "no live backend server for the request");
            return;
        }
        mSubmissions++;
        RequestAttempt submission =
                new RequestAttempt(
                        mRequest.id() + "-" + mSubmissions,
                        agent.get(),
                        mServices.loads().incarnation(agent.get().id()),
                        now());
        mSubmission = Optional.of(submission);
        mServices.loads().requestStarted(agent.get().id());
        LOG.debug("{} goes to {}", submission.id(), agent.get().id());
        call(submission, false, false);
    }

    private void call(RequestAttempt submission, boolean attach, boolean fresh) {
        submission.recordCall(now());
        ExchangeRequest request =
                mRequest.template().toBuilder()
                        .setRequestId(submission.id())
                        .setAttach(attach)
                        .setNextSequence(submission.assembler().nextSequence())
                        .setConfigurationRevision(mServices.revisions().configurationRevision())
                        .setPlacementRevision(mServices.revisions().placementRevision())
                        .build();
        int call = submission.callCount();
        FrameListener listener =
                new FrameListener() {
                    @Override
                    public void onFrame(Frame frame) {
                        mWorker.schedule(() -> handleFrame(submission, frame));
                    }

                    @Override
                    public void onCallFailed(boolean notSent, String reason) {
                        mWorker.schedule(() -> callFailed(submission, call, notSent, reason));
                    }
                };
        mCall.set(mServices.gateway().exchange(submission.agent(), request, listener, fresh));
    }

    private boolean isCurrent(RequestAttempt submission) {
        return !mEnded && mSubmission.isPresent() && mSubmission.get() == submission;
    }

    private void handleFrame(RequestAttempt submission, Frame frame) {
        if (!isCurrent(submission)) {
            mServices.metrics().counter("entry.frames.late").inc();
            return;
        }
        submission.recordFrame(now());
        if (frame.hasLoad()) {
            Member agent = submission.agent();
            mServices.loads().report(agent.id(), mRequest.target().model(), frame.getLoad());
            mServices.revisions().onAgentLoad(agent, frame.getLoad());
        }
        if (frame.hasChunk()) {
            onChunk(submission, frame.getRequestId(), frame.getChunk());
        } else if (frame.hasFinal()) {
            onFinal(submission, frame.getRequestId(), frame.getFinal());
        }
    }

    private void onChunk(RequestAttempt submission, String id, Chunk chunk) {
        switch (submission.assembler().acceptChunk(id, chunk.getSequence())) {
            case DELIVER -> {
                mDelivered = true;
                mServices.metrics().counter("entry.chunks").inc();
                submission.recordChunk(now(), mServices.loads().slowAgents());
                mSink.chunk(chunk.getData().toByteArray());
            }
            case GAP -> attach(submission, "gap before chunk " + chunk.getSequence());
            default -> mServices.metrics().counter("entry.frames.dropped").inc();
        }
    }

    private void onFinal(RequestAttempt submission, String id, Final mark) {
        ResultCode code = ResultCode.ofNumber(mark.getResultCode()).orElse(ResultCode.INTERNAL);
        if (code == ResultCode.UNKNOWN_EXCHANGE) {
            lost(submission);
            return;
        }
        switch (submission.assembler().acceptFinal(id, mark.getChunkCount())) {
            case DELIVER -> onEnding(submission, code, mark);
            case GAP -> attach(submission, "final mark counts " + mark.getChunkCount());
            default -> mServices.metrics().counter("entry.frames.dropped").inc();
        }
    }

    private void onEnding(RequestAttempt submission, ResultCode code, Final mark) {
        leave(submission);
        boolean notRun = code.executionState() == ResultCode.ExecutionState.NOT_RUN;
        if (notRun) {
            mRefusals++;
            mExcluded.add(submission.agent().id());
        }
        if (notRun && RetryPolicy.shouldTryAnotherAgent(code, mRefusals)) {
            refused(code, mark.getMessage());
            return;
        }
        boolean failed = code == ResultCode.BACKEND_FAILED && mRequest.repeatable();
        if (failed && mayMoveOn() && mServices.retryBudget().tryAcquire()) {
            mMayHaveRun = true;
            mExcluded.add(submission.agent().id());
            restartAnswer();
            submitLater();
            return;
        }
        end(
                new Outcome(
                        mark.getChunkCount(),
                        code,
                        mark.getMessage(),
                        mark.getHttpStatus(),
                        mark.getContentType()));
    }

    /** Tries another agent after a refusal that says "not run". */
    private void refused(ResultCode code, String message) {
        boolean preset = mServices.view().get().preset().isPresent();
        if (mRequest.deadline().remainingMillis(now()) <= MAX_BACKOFF_MILLIS || !preset) {
            end(Outcome.refused(code, message));
            return;
        }
        submitLater();
    }

    private void submitLater() {
        mSubmission = Optional.empty();
        mServices.metrics().counter("entry.retries").inc();
        int doublings = Math.min(mSubmissions + mRefusals, 5);
        int limit = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << doublings);
        long delay = limit / 2 + mServices.random().applyAsInt(limit / 2 + 1);
        mWorker.schedule(this::submit, delay, TimeUnit.MILLISECONDS);
    }

    private void callFailed(RequestAttempt submission, int call, boolean notSent, String reason) {
        if (!isCurrent(submission) || call != submission.callCount()) {
            return;
        }
        mServices.loads().agentUnreachable(submission.agent().id());
        if (notSent && call == 1) {
            leave(submission);
            mExcluded.add(submission.agent().id());
            refused(ResultCode.NO_REPLICA, reason);
            return;
        }
        attach(submission, reason);
    }

    private void checkSilence() {
        mSubmission
                .filter(submission -> !mEnded)
                .filter(submission -> now() - submission.lastFrameMillis() > SILENCE_MILLIS)
                .ifPresent(submission -> attach(submission, "silence"));
    }

    /** Attaches again on a fresh connection, or moves on if that is safe and does not help. */
    private void attach(RequestAttempt submission, String reason) {
        mServices.metrics().counter("entry.attaches").inc();
        LOG.info("{} attaches again: {}", submission.id(), reason);
        if (submission.callCount() > ATTACHES_BEFORE_MOVING_ON && mayMoveOn()) {
            moveOn(submission);
            return;
        }
        long delay = ATTACH_BACKOFF_MILLIS * submission.callCount();
        submission.recordCall(now() + delay);
        int call = submission.callCount();
        mCall.set(Disposable.empty());
        mWorker.schedule(
                () -> {
                    if (isCurrent(submission) && submission.callCount() == call) {
                        call(submission, true, true);
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    private boolean mayMoveOn() {
        boolean again = mRequest.repeatable() || mRequest.deduplicated();
        return again && (!mDelivered || mSink.canReset());
    }

    private void moveOn(RequestAttempt submission) {
        withdraw();
        leave(submission);
        mMayHaveRun = true;
        mExcluded.add(submission.agent().id());
        restartAnswer();
        if (mRequest.deduplicated() || mServices.retryBudget().tryAcquire()) {
            submitLater();
        } else {
            end(Outcome.refused(ResultCode.BACKEND_FAILED, "agent lost, retry budget spent"));
        }
    }

    private void restartAnswer() {
        if (mDelivered) {
            mSink.reset();
            mDelivered = false;
        }
    }

    /** The agent does not know the request: it never arrived, or the agent was restarted. */
    private void lost(RequestAttempt submission) {
        if (mayMoveOn()) {
            moveOn(submission);
        } else if (mDelivered) {
            end(Outcome.refused(ResultCode.ANSWER_INCOMPLETE, "the agent was restarted"));
        } else {
            proveNotRun(submission);
        }
    }

    private void proveNotRun(RequestAttempt submission) {
        long deadline = mRequest.deadline().epochMillis();
        mServices
                .gateway()
                .withdraw(submission.agent(), submission.id(), deadline)
                .subscribe(
                        reply -> mWorker.schedule(() -> onProof(submission, reply)),
                        e -> mWorker.schedule(() -> attach(submission, "withdrawal failed")));
    }

    private void onProof(RequestAttempt submission, WithdrawReply reply) {
        if (!isCurrent(submission)) {
            return;
        }
        boolean sameProcess =
                submission.incarnation().filter(reply.getIncarnation()::equals).isPresent();
        if (reply.getOutcome() == WithdrawReply.Outcome.WITHDRAWN && sameProcess) {
            leave(submission);
            submitLater();
        } else {
            end(Outcome.refused(ResultCode.OUTCOME_UNKNOWN, "the agent was restarted"));
        }
    }

    private void deadlinePassed() {
        if (mEnded) {
            return;
        }
        boolean open = mSubmission.isPresent();
        withdraw();
        if (!open && !mMayHaveRun) {
            end(Outcome.refused(ResultCode.DEADLINE_PASSED, "no backend server took it in time"));
        } else if (mRequest.repeatable()) {
            end(Outcome.refused(ResultCode.DEADLINE_PASSED_RUNNING, "deadline passed"));
        } else {
            end(Outcome.refused(ResultCode.OUTCOME_UNKNOWN, "deadline passed before the answer"));
        }
    }

    private void withdraw() {
        mSubmission.ifPresent(
                submission ->
                        mServices
                                .gateway()
                                .withdraw(
                                        submission.agent(),
                                        submission.id(),
                                        mRequest.deadline().epochMillis())
                                .subscribe(reply -> {}, e -> {}));
    }

    private void leave(RequestAttempt submission) {
        if (mSubmission.isPresent()) {
            mServices.loads().requestEnded(submission.agent().id());
            mSubmission = Optional.empty();
            mCall.set(Disposable.empty());
        }
    }

    private void end(Outcome ending) {
        mServices.invariants().check(!mEnded, "request " + mRequest.id() + " ended twice");
        mEnded = true;
        mSubmission.ifPresent(this::leave);
        Outcome told = mMayHaveRun ? withoutNotRun(ending) : ending;
        mServices.metrics().counter("entry.ended." + told.code()).inc();
        mSink.end(told);
        mCall.dispose();
        mOnEnd.run();
        mWorker.dispose();
    }

    /** A refusal of the last submission says nothing about the earlier ones. */
    private Outcome withoutNotRun(Outcome ending) {
        if (ending.code().executionState() != ResultCode.ExecutionState.NOT_RUN) {
            return ending;
        }
        ResultCode code =
                mRequest.repeatable() ? ResultCode.BACKEND_FAILED : ResultCode.OUTCOME_UNKNOWN;
        return Outcome.refused(code, "an earlier try may have run; then: " + ending.message());
    }

    private long now() {
        return mServices.scheduler().now(TimeUnit.MILLISECONDS);
    }
}

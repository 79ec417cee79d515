package org.cornelway.agent;

import java.util.Optional;
import org.cornelway.exchange.AnswerBuffer;
import org.cornelway.exchange.Outcome;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.time.Deadline;

/**
 * One request at an agent, from its arrival until its answer may be forgotten.
 *
 * <p>Invariant: the state only moves forward, and a withdrawn request never starts. The state is
 * confined to the control thread; the answer is thread-safe.
 */
public final class AgentExchange {
    /** States in order. */
    public enum State {
        WAITING,
        STARTED,
        ENDED
    }

    private final ExchangeRequest mRequest;
    private final AnswerBuffer mAnswer = new AnswerBuffer();
    private State mState = State.WAITING;
    private boolean mNotRun;
    private Optional<Runnable> mCancel = Optional.empty();

    /**
     * @param request what the entry asked
     */
    public AgentExchange(ExchangeRequest request) {
        mRequest = request;
    }

    /** The request's id. */
    public String id() {
        return mRequest.getRequestId();
    }

    /** What the entry asked. */
    public ExchangeRequest request() {
        return mRequest;
    }

    /** The request's deadline. */
    public Deadline deadline() {
        return new Deadline(mRequest.getDeadlineMillis());
    }

    /** The answer. */
    public AnswerBuffer answer() {
        return mAnswer;
    }

    /** The state. */
    public State state() {
        return mState;
    }

    /** Whether the request ended without having run. */
    public boolean isNotRun() {
        return mNotRun;
    }

    /** Moves to started, unless it has started or ended. */
    public boolean start() {
        if (mState != State.WAITING) {
            return false;
        }
        mState = State.STARTED;
        return true;
    }

    /** Sets what cancels the running work. */
    public void setCancelAction(Runnable cancel) {
        mCancel = Optional.of(cancel);
    }

    /** Cancels the running work. */
    public void cancel() {
        mCancel.ifPresent(Runnable::run);
    }

    /** Ends the request; false if it had ended. */
    public boolean end(Outcome ending, boolean notRun) {
        if (mState == State.ENDED) {
            return false;
        }
        mState = State.ENDED;
        mNotRun = notRun;
        return mAnswer.end(ending);
    }
}

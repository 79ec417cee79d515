package org.cornelway.agent;

import java.util.Optional;
import org.cornelway.exchange.AnswerBuffer;
import org.cornelway.exchange.Outcome;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.time.Deadline;

/**
 * One request at an agent, kept from its arrival until its answer may be discarded.
 *
 * <p>Invariant: the state only moves forward, and a withdrawn request never starts. The state is
 * confined to the control thread; the answer buffer is thread-safe.
 */
public final class AgentExchange {
    /** The states in their order. A request that never starts goes from waiting to ended. */
    public enum State {
        /** Waits in the queue, or for the intent log's decision. */
        WAITING,
        /** Was sent to the backend server, or is about to be. */
        STARTED,
        /** Has an outcome. */
        ENDED
    }

    private final ExchangeRequest mRequest;
    private final AnswerBuffer mAnswer = new AnswerBuffer();
    private State mState = State.WAITING;
    private boolean mNotRun;
    private Optional<Runnable> mCancelAction = Optional.empty();

    /**
     * @param request the request as the entry sent it
     */
    public AgentExchange(ExchangeRequest request) {
        mRequest = request;
    }

    /** Returns the request's id. */
    public String id() {
        return mRequest.getRequestId();
    }

    /** Returns the request as the entry sent it. */
    public ExchangeRequest request() {
        return mRequest;
    }

    /** Returns the request's deadline. */
    public Deadline deadline() {
        return new Deadline(mRequest.getDeadlineMillis());
    }

    /** Returns the buffer of the answer's chunks and outcome. */
    public AnswerBuffer answer() {
        return mAnswer;
    }

    /** Returns the current state. */
    public State state() {
        return mState;
    }

    /** Returns whether the request has ended and it is certain that it did not run. */
    public boolean isProvenNotRun() {
        return mNotRun;
    }

    /**
     * Moves to {@link State#STARTED}; returns false if the request has already started or ended.
     */
    public boolean start() {
        if (mState != State.WAITING) {
            return false;
        }
        mState = State.STARTED;
        return true;
    }

    /** Sets the action that cancels the request while it runs. */
    public void setCancelAction(Runnable cancel) {
        mCancelAction = Optional.of(cancel);
    }

    /** Runs the cancel action, if one was set. */
    public void cancel() {
        mCancelAction.ifPresent(Runnable::run);
    }

    /**
     * Ends the request; returns false if it had already ended.
     *
     * @param notRun whether it is certain that the request did not run
     */
    public boolean end(Outcome outcome, boolean notRun) {
        if (mState == State.ENDED) {
            return false;
        }
        mState = State.ENDED;
        mNotRun = notRun;
        return mAnswer.end(outcome);
    }
}

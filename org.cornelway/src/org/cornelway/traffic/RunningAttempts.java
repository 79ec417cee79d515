package org.cornelway.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The attempts of one call that have not ended: none, one, or for a short while a hedge beside one
 * whose server is silent. Records how they end.
 *
 * <p>Invariant: at most two attempts, the hedge last. Confined to the traffic thread; lives as long
 * as its call.
 */
final class RunningAttempts {
    private final SendHistory mHistory;
    private final CallLog mLog;
    private final List<Attempt> mAttempts = new ArrayList<>();

    /** Whether the caller does not keep up with the answer. */
    private boolean mReadingPaused;

    RunningAttempts(SendHistory history, CallLog log) {
        mHistory = history;
        mLog = log;
    }

    /** Adds an attempt that starts now. */
    void add(Attempt attempt) {
        mAttempts.add(attempt);
        if (mReadingPaused) {
            attempt.setReadingPaused(true);
        }
    }

    /** Pauses or resumes reading from the servers of all attempts, and of those added later. */
    void setReadingPaused(boolean paused) {
        mReadingPaused = paused;
        forEach(attempt -> attempt.setReadingPaused(paused));
    }

    /** Whether reading from the servers is paused, so that their silence means nothing. */
    boolean isReadingPaused() {
        return mReadingPaused;
    }

    /** Returns the answer of an attempt that is sent now. */
    StreamRelay.Answer newAnswer(StreamRelay relay, Attempt attempt) {
        return relay.newAnswer(() -> !isHedged(), () -> cancelOther(attempt));
    }

    /** Whether no attempt runs. */
    boolean isEmpty() {
        return mAttempts.isEmpty();
    }

    /** Whether this attempt still runs. */
    boolean contains(Attempt attempt) {
        return mAttempts.contains(attempt);
    }

    /** Whether a hedge runs beside another attempt. */
    boolean isHedged() {
        return mAttempts.size() > 1;
    }

    /** Whether this attempt runs as a hedge beside another one. */
    boolean isHedge(Attempt attempt) {
        return isHedged() && mAttempts.get(0) != attempt;
    }

    /** Whether the call may have run, or may be about to run, at the server of an attempt. */
    boolean mayHaveRun() {
        return mAttempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Returns the ids of the servers of all attempts. */
    Set<String> servers() {
        return mAttempts.stream().map(each -> each.server().id()).collect(Collectors.toSet());
    }

    /** Runs an action for each attempt; the action may end attempts. */
    void forEach(Consumer<Attempt> action) {
        List.copyOf(mAttempts).forEach(action);
    }

    /** Removes an attempt whose answer the caller gets. */
    void remove(Attempt attempt) {
        mAttempts.remove(attempt);
    }

    /** Removes an attempt that has ended without a run of the call. */
    void endNotRun(Attempt attempt, String reason) {
        mAttempts.remove(attempt);
        mHistory.recordEnd(reason);
        mLog.logSendFailed(attempt.server().id(), "not_run", reason);
    }

    /** Removes an attempt that has ended, and whose server may have run the call. */
    void endMayHaveRun(Attempt attempt, String reason) {
        mAttempts.remove(attempt);
        mHistory.recordEnd(reason);
        mHistory.recordPossibleRun(attempt.server().id());
        mLog.logSendFailed(attempt.server().id(), "may_have_run", reason);
    }

    /** Cancels and removes an attempt. */
    void cancel(Attempt attempt, String reason) {
        boolean mayHaveRun = attempt.mayHaveRun();
        attempt.cancel();
        if (mayHaveRun) {
            endMayHaveRun(attempt, reason);
        } else {
            endNotRun(attempt, reason);
        }
    }

    /** Cancels the attempt that runs beside this one, if there is one: this one has gone on. */
    void cancelOther(Attempt attempt) {
        Optional<Attempt> other = mAttempts.stream().filter(each -> each != attempt).findFirst();
        if (other.isEmpty()) {
            return;
        }
        if (mAttempts.get(0) == other.get()) {
            other.get().silence().record();
            mLog.countHedgeWon();
        }
        cancel(other.get(), attempt.server().id() + " went on");
    }

    /** Records for each attempt that the call may have run; all are about to be cancelled. */
    void recordPossibleRuns() {
        mAttempts.stream()
                .filter(Attempt::mayHaveRun)
                .forEach(each -> mHistory.recordPossibleRun(each.server().id()));
    }

    /** Cancels all attempts. */
    void cancelAll() {
        forEach(Attempt::cancel);
        mAttempts.clear();
    }
}

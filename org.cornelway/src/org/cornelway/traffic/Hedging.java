package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.HedgePolicy;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * Sends one call to another server, as a hedge, while the server of its attempt is silent, or
 * earlier if the call would otherwise miss its objective and the retry budget is hardly used.
 *
 * <p>Invariants: the server that goes on first keeps the call, and the other attempt is cancelled
 * then; neither a failure nor a silence of the hedge ends the first attempt; both run for a bounded
 * time only. While the traffic thread is late, it could not bound that time, and a stream leaves
 * its silent server, later, before it is sent to another one. Confined to the traffic thread; lives
 * as long as its call.
 */
final class Hedging {
    /** Time from the failure of one of two attempts to the next hedge. */
    private static final long PAUSE_MILLIS = 250;

    /** Delay before the next hedge if a server has refused one. */
    private static final long REFUSED_DELAY_MILLIS = 30;

    private static final String NEITHER_WENT_ON = "neither server went on";
    private static final String NO_HEDGE = "silent, and the traffic thread is late";

    private final TrafficContext mContext;
    private final RunningAttempts mAttempts;
    private final SendHistory mHistory;
    private final CallLog mLog;
    private final CallGuard mGuard;
    private final Sender mSender;

    /** Until when no hedge is sent. */
    private Deadline mPausedUntil = new Deadline(0);

    /** The call that is hedged. */
    interface Sender {
        /** Returns the route of the call. */
        Route route();

        /**
         * Returns a server that the call can be sent to now, if all that the send needs is granted;
         * empty if it is not.
         *
         * @param silent attempt that goes on meanwhile
         * @param early whether its server does not count as silent yet
         */
        Optional<Candidate> acquireAlternative(Attempt silent, boolean early);

        /** Sends the call to a server. */
        Attempt start(Candidate chosen);

        /** Whether a server has answered with an error that the caller can get. */
        boolean hasErrorResponse();

        /** Ends a call that has no attempt left, unless it can be sent again. */
        void repeatOrFail(String reason);
    }

    Hedging(
            TrafficContext context,
            RunningAttempts attempts,
            SendHistory history,
            CallLog log,
            CallGuard guard,
            Sender sender) {
        mContext = context;
        mAttempts = attempts;
        mHistory = history;
        mLog = log;
        mGuard = guard;
        mSender = sender;
    }

    /**
     * Sends the call to another server if that of an attempt has gone silent; called periodically.
     * What this process itself has not read yet is no silence of the server.
     */
    void tick(Attempt attempt) {
        long lateMillis = mContext.loopDelay().lateMillis();
        if (attempt.silence().isStalled(lateMillis)) {
            mGuard.afterNextRead(() -> checkSilence(attempt, lateMillis));
        } else if (lateMillis == 0 && !mAttempts.isHedged() && attempt.silence().isHedgeDue()) {
            mGuard.afterNextRead(() -> checkDue(attempt));
        }
    }

    private void checkDue(Attempt attempt) {
        if (mContext.loopDelay().lateMillis() == 0 && attempt.silence().isHedgeDue()) {
            hedge(attempt, 0, true);
        }
    }

    private void checkSilence(Attempt attempt, long lateMillis) {
        if (attempt.silence().isStalled(lateMillis)) {
            hedge(attempt, lateMillis, false);
        }
    }

    private void hedge(Attempt silent, long lateMillis, boolean early) {
        boolean canHedge = HedgePolicy.canHedge(mSender.route().kind(), lateMillis);
        if (mAttempts.isHedged()
                || !canHedge && !HedgePolicy.isLeft(silent.silence().millis() - lateMillis)
                || !mPausedUntil.isPast(mContext.clock().nowMillis())
                || !mHistory.hasSpareSend()) {
            return;
        }
        Optional<Candidate> next = mSender.acquireAlternative(silent, early);
        if (next.isEmpty()) {
            return;
        }
        mLog.logSilent(silent.server().id(), silent.silence().millis());
        if (early) {
            silent.silence().recordEarlyHedge();
        }
        if (!canHedge) {
            endOne(silent, true, NO_HEDGE);
        }
        Attempt hedge = mSender.start(next.get());
        if (canHedge) {
            checkAfter(silent, hedge, HedgePolicy.MAX_HEDGE_MILLIS);
        }
    }

    /** Checks after a delay, and not before what the servers have sent until then is read. */
    private void checkAfter(Attempt silent, Attempt hedge, long delayMillis) {
        mGuard.schedule(() -> mGuard.afterNextRead(() -> check(silent, hedge)), delayMillis);
    }

    /**
     * Ends one of the two attempts if neither server has gone on in time; waits if the hedge is not
     * sent yet, since its server may not be reached at all.
     */
    private void check(Attempt silent, Attempt hedge) {
        boolean isHedged = mAttempts.contains(hedge);
        if (!mAttempts.contains(silent) || !isHedged && !canEndWithError()) {
            return;
        }
        Optional<Long> hedgeMillis = hedge.sinceSendMillis();
        long remaining =
                HedgePolicy.remainingMillis(
                        mSender.route().kind(), silent.silence().millis(), hedgeMillis.orElse(0L));
        if (remaining > 0) {
            checkAfter(silent, hedge, remaining);
        } else if (isHedged && hedgeMillis.isEmpty()) {
            checkAfter(silent, hedge, HedgePolicy.MAX_HEDGE_MILLIS);
        } else {
            endOneOf(silent, hedge);
        }
    }

    /** Whether the caller can get the error of a hedge, with which it can retry sooner. */
    private boolean canEndWithError() {
        // A later hedge has a check of its own.
        return !mAttempts.isHedged()
                && mSender.route().kind() != CallKind.STREAM
                && mSender.hasErrorResponse();
    }

    private void endOneOf(Attempt silent, Attempt hedge) {
        if (!mAttempts.contains(hedge)) {
            endOne(silent, true, NEITHER_WENT_ON);
            mSender.repeatOrFail(NEITHER_WENT_ON);
            return;
        }
        boolean hasGoneOn = silent.silence().millis() < HedgePolicy.MAX_HEDGE_MILLIS;
        boolean endsSilent =
                !hasGoneOn
                        && HedgePolicy.endsSilentAttempt(
                                mSender.route().kind(),
                                silent.silence().millis(),
                                silent.silence().isServerActive());
        endOne(endsSilent ? silent : hedge, endsSilent, NEITHER_WENT_ON);
    }

    private void endOne(Attempt attempt, boolean isSilent, String reason) {
        if (isSilent) {
            attempt.silence().record();
        }
        mAttempts.cancel(attempt, reason);
        pause(PAUSE_MILLIS);
    }

    /**
     * Sends no hedge for a while, since one of two attempts has ended.
     *
     * @param refused whether its server refused the call, or could not be reached
     */
    void onEnded(boolean refused) {
        pause(refused ? REFUSED_DELAY_MILLIS : PAUSE_MILLIS);
    }

    private void pause(long millis) {
        mPausedUntil = Deadline.after(mContext.clock().nowMillis(), millis);
    }
}

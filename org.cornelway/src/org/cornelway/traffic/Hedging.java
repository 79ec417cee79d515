package org.cornelway.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.HedgePolicy;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * Sends one call to another server, as a hedge, while the server of its attempt is silent.
 *
 * <p>Invariants: the server that goes on first keeps the call, and the other attempt is cancelled
 * then; neither a failure nor a silence of the hedge ends the first attempt; both run for a bounded
 * time only. Confined to the traffic thread; lives as long as its call.
 */
final class Hedging {
    /**
     * Longest time for which a hedge runs beside a silent attempt. The platform lets two servers
     * work on one call for 400 ms; the rest is left for the way and for a late traffic thread.
     */
    private static final long MAX_HEDGE_MILLIS = 250;

    private static final String NEITHER_WENT_ON = "neither server went on";

    private final TrafficContext mContext;
    private final RunningAttempts mAttempts;
    private final SendHistory mHistory;
    private final CallLog mLog;
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
         */
        Optional<Candidate> acquireAlternative(Attempt silent);

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
            Sender sender) {
        mContext = context;
        mAttempts = attempts;
        mHistory = history;
        mLog = log;
        mSender = sender;
    }

    /** Sends a hedge if one is allowed now; called while the server of an attempt is silent. */
    void onSilent(Attempt silent) {
        if (mAttempts.isHedged()
                || !mPausedUntil.isPast(mContext.clock().nowMillis())
                || !mHistory.hasSpareSend()) {
            return;
        }
        Optional<Candidate> next = mSender.acquireAlternative(silent);
        if (next.isEmpty()) {
            return;
        }
        mLog.logSilent(silent.server().id(), silent.silentMillis());
        Attempt hedge = mSender.start(next.get());
        mContext.loop()
                .schedule(() -> onTimeout(silent, hedge), MAX_HEDGE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends one of the two attempts if neither server has gone on. */
    private void onTimeout(Attempt silent, Attempt hedge) {
        if (!mAttempts.contains(silent)) {
            return;
        }
        boolean endsSilent =
                !mAttempts.isReadingPaused()
                        && HedgePolicy.endsSilentAttempt(
                                mSender.route().kind(),
                                silent.silentMillis(),
                                silent.isServerActive());
        if (mAttempts.contains(hedge)) {
            endOne(endsSilent ? silent : hedge, endsSilent);
        } else if (endsSilent
                && mSender.route().kind() != CallKind.STREAM
                && mSender.hasErrorResponse()) {
            // With the error of the hedge, the caller can retry sooner.
            endOne(silent, true);
            mSender.repeatOrFail(NEITHER_WENT_ON);
        }
    }

    private void endOne(Attempt attempt, boolean isSilent) {
        if (isSilent) {
            attempt.recordSilence();
        }
        mAttempts.cancel(attempt, NEITHER_WENT_ON);
        pause();
    }

    /** Sends no hedge for a while, since one of two attempts has failed. */
    void pause() {
        mPausedUntil = Deadline.after(mContext.clock().nowMillis(), MAX_HEDGE_MILLIS);
    }
}

package org.cornelway.traffic;

import org.cornelway.time.SuspendAwareClock;

/**
 * Measures how late the traffic thread is with its work.
 *
 * <p>A request that is read now may have arrived up to this delay earlier, and its caller may have
 * closed the connection meanwhile without the thread having read the close. This holds for some
 * time after the thread has resumed: connections that wait to be accepted are read only in a later
 * iteration of the event loop, and overdue ticks run one after the other before that. Confined to
 * the traffic thread.
 */
final class LoopDelay {
    /** Delay from which the thread counts as late; shorter ones occur without overload. */
    private static final long LATE_MILLIS = 100;

    /** Time after a late tick for which its delay still counts. */
    private static final long HOLD_MILLIS = 250;

    private final SuspendAwareClock mClock;
    private final long mTickIntervalMillis;
    private SuspendAwareClock.Mark mLastTick;
    private long mLastDelayMillis;

    /** Longest delay of the recent late ticks. */
    private long mHeldDelayMillis;

    /** When that tick ran. */
    private SuspendAwareClock.Mark mHeldSince;

    /**
     * @param tickIntervalMillis interval at which {@link #tick} is scheduled
     */
    LoopDelay(SuspendAwareClock clock, long tickIntervalMillis) {
        mClock = clock;
        mTickIntervalMillis = tickIntervalMillis;
        mLastTick = clock.mark();
        mHeldSince = mLastTick;
    }

    /** Records that the ticks are scheduled now; the time before is no delay. */
    void start() {
        mLastTick = mClock.mark();
    }

    /**
     * Records that a periodic task runs.
     *
     * @return how late the task runs, in milliseconds
     */
    long tick() {
        mLastDelayMillis = sinceDueMillis();
        mLastTick = mClock.mark();
        if (mLastDelayMillis >= Math.max(LATE_MILLIS, heldDelayMillis())) {
            mHeldDelayMillis = mLastDelayMillis;
            mHeldSince = mLastTick;
        }
        return mLastDelayMillis;
    }

    private long heldDelayMillis() {
        return mClock.elapsedMillisSince(mHeldSince) <= HOLD_MILLIS ? mHeldDelayMillis : 0;
    }

    private long sinceDueMillis() {
        return Math.max(0, mClock.elapsedMillisSince(mLastTick) - mTickIntervalMillis);
    }

    /** Returns the longest delay of the last tick, of the tick due and of recent late ticks. */
    long millis() {
        return Math.max(heldDelayMillis(), Math.max(mLastDelayMillis, sinceDueMillis()));
    }

    /** Returns the delay if the thread counts as late, otherwise 0. */
    long lateMillis() {
        return isLate() ? millis() : 0;
    }

    /** Whether the delay is so long that callers may have left unnoticed. */
    boolean isLate() {
        return millis() >= LATE_MILLIS;
    }
}

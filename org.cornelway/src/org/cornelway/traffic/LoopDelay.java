package org.cornelway.traffic;

import org.cornelway.time.SuspendAwareClock;

/**
 * Measures how late the traffic thread is with its work.
 *
 * <p>A request that is read now may have arrived up to this delay earlier, and its caller may have
 * closed the connection meanwhile without the thread having read the close. Confined to the traffic
 * thread.
 */
final class LoopDelay {
    /** Delay from which the thread counts as late; shorter ones occur without overload. */
    private static final long LATE_MILLIS = 100;

    private final SuspendAwareClock mClock;
    private final long mTickIntervalMillis;
    private SuspendAwareClock.Mark mLastTick;
    private long mLastDelayMillis;

    /**
     * @param tickIntervalMillis interval at which {@link #tick} is scheduled
     */
    LoopDelay(SuspendAwareClock clock, long tickIntervalMillis) {
        mClock = clock;
        mTickIntervalMillis = tickIntervalMillis;
        mLastTick = clock.mark();
    }

    /**
     * Records that a periodic task runs.
     *
     * @return how late the task runs, in milliseconds
     */
    long tick() {
        mLastDelayMillis = sinceDueMillis();
        mLastTick = mClock.mark();
        return mLastDelayMillis;
    }

    private long sinceDueMillis() {
        return Math.max(0, mClock.elapsedMillisSince(mLastTick) - mTickIntervalMillis);
    }

    /** Returns the delay: that of the last tick or, if longer, that of the tick due since. */
    long millis() {
        return Math.max(mLastDelayMillis, sinceDueMillis());
    }

    /** Whether the delay is so long that callers may have left unnoticed. */
    boolean isLate() {
        return millis() >= LATE_MILLIS;
    }
}

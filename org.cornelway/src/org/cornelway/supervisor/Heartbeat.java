package org.cornelway.supervisor;

import org.cornelway.time.Deadline;
import org.cornelway.time.RunningTime;

/**
 * Decides from a count that a thread increases regularly whether the thread goes on.
 *
 * <p>Time counts only while the process runs, so that a process that was frozen, or was without
 * processor, is not taken for one whose thread has stopped. Confined to the thread that checks.
 */
public final class Heartbeat {
    /** Interval at which {@link #check} is to be called. */
    public static final long CHECK_INTERVAL_MILLIS = 500;

    /** Longest time that a check counts for; a later one follows a pause of the process. */
    private static final long MAX_STEP_MILLIS = 2 * CHECK_INTERVAL_MILLIS;

    /** Time without an increase that no pause or overload of a working thread reaches. */
    static final long STALLED_MILLIS = 5_000;

    /** Time without an increase after which the thread is not expected to go on by itself. */
    static final long ENDED_MILLIS = 60_000;

    private final RunningTime mTime;
    private long mLastCount;
    private Deadline mStalledAt;
    private Deadline mEndedAt;

    /** What is known of the thread. */
    public enum State {
        GOES_ON,
        STALLED,
        ENDED
    }

    /**
     * @param nowMillis current time of a monotonic clock
     * @param count current count of the thread
     */
    public Heartbeat(long nowMillis, long count) {
        mTime = new RunningTime(nowMillis, MAX_STEP_MILLIS);
        record(0, count);
    }

    private void record(long runningMillis, long count) {
        mLastCount = count;
        mStalledAt = Deadline.after(runningMillis, STALLED_MILLIS);
        mEndedAt = Deadline.after(runningMillis, ENDED_MILLIS);
    }

    /** Returns the state of the thread, from the current time of the clock and its count. */
    public State check(long nowMillis, long count) {
        long runningMillis = mTime.step(nowMillis);
        if (count != mLastCount) {
            record(runningMillis, count);
        }
        if (mEndedAt.isPast(runningMillis)) {
            return State.ENDED;
        }
        return mStalledAt.isPast(runningMillis) ? State.STALLED : State.GOES_ON;
    }
}

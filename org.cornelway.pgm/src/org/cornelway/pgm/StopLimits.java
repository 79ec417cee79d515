package org.cornelway.pgm;

import org.cornelway.time.Deadline;

/**
 * Longest durations of a graceful stop, counted from the signal. Immutable.
 *
 * @param drainMillis longest time until the end of the drain
 * @param stopMillis longest time until the end of the whole stop; the process ends then
 */
record StopLimits(long drainMillis, long stopMillis) {
    /** Fraction of a grace period that the drain may use; the rest is for closing. */
    private static final double DRAIN_FRACTION = 0.9;

    /** Fraction of a grace period that the whole stop may use; the rest is for the exit. */
    private static final double STOP_FRACTION = 0.96;

    /** Longest time for closing after a drain if no grace period is stated. */
    private static final long CLOSE_MILLIS = 10_000;

    /** Returns limits for a process that is killed when a grace period has passed. */
    static StopLimits withinGrace(long graceMillis) {
        return new StopLimits(
                (long) (graceMillis * DRAIN_FRACTION), (long) (graceMillis * STOP_FRACTION));
    }

    /** Returns limits for a process of which only the longest drain is stated. */
    static StopLimits afterDrain(long drainMillis) {
        return new StopLimits(drainMillis, drainMillis + CLOSE_MILLIS);
    }

    Deadline drainDeadline(long nowMillis) {
        return Deadline.after(nowMillis, drainMillis);
    }

    Deadline stopDeadline(long nowMillis) {
        return Deadline.after(nowMillis, stopMillis);
    }
}

package org.cornelway.time;

import java.util.function.LongSupplier;

/**
 * Measures elapsed time, including the time for which the host was suspended.
 *
 * <p>The monotonic clock stops while the host is suspended, and the wall clock may be adjusted. The
 * elapsed time is therefore read from both clocks, and the larger value is returned. It is at least
 * the time that has passed, unless the wall clock is set back in an interval in which the host was
 * suspended. Immutable and thread-safe.
 */
public final class SuspendAwareClock {
    private final LongSupplier mMonotonicMillis;
    private final LongSupplier mWallMillis;

    /** A point in time on both clocks. Immutable. */
    public record Mark(long monotonicMillis, long wallMillis) {}

    /**
     * @param monotonicMillis reads the monotonic clock, in milliseconds from any origin
     * @param wallMillis reads the wall clock, in milliseconds since the epoch
     */
    public SuspendAwareClock(LongSupplier monotonicMillis, LongSupplier wallMillis) {
        mMonotonicMillis = monotonicMillis;
        mWallMillis = wallMillis;
    }

    /** Creates a clock that reads the clocks of this host. */
    public static SuspendAwareClock system() {
        return new SuspendAwareClock(
                () -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
    }

    /** Returns the current time of both clocks. */
    public Mark mark() {
        return new Mark(mMonotonicMillis.getAsLong(), mWallMillis.getAsLong());
    }

    /** Returns the milliseconds since a mark, including the time of suspensions. */
    public long elapsedMillisSince(Mark mark) {
        long monotonicElapsedMillis = mMonotonicMillis.getAsLong() - mark.monotonicMillis();
        long wallElapsedMillis = mWallMillis.getAsLong() - mark.wallMillis();
        return Math.max(monotonicElapsedMillis, wallElapsedMillis);
    }
}

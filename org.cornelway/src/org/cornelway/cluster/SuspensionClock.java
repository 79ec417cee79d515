package org.cornelway.cluster;

import java.util.function.LongSupplier;

/**
 * Measures time that has passed, suspensions of the machine included.
 *
 * <p>The monotonic timer stands still while a machine is suspended, and the time of day may jump;
 * the larger of both differences never understates what has passed. Immutable and thread-safe.
 */
public final class SuspensionClock {
    private final LongSupplier mMonotonicMillis;
    private final LongSupplier mWallMillis;

    /** A point in time on both clocks. Immutable. */
    public record Mark(long monotonicMillis, long wallMillis) {}

    /**
     * @param wallMillis time of day
     */
    public SuspensionClock(LongSupplier monotonicMillis, LongSupplier wallMillis) {
        mMonotonicMillis = monotonicMillis;
        mWallMillis = wallMillis;
    }

    /** The clocks of this machine. */
    public static SuspensionClock system() {
        return new SuspensionClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
    }

    /** Marks the present. */
    public Mark mark() {
        return new Mark(mMonotonicMillis.getAsLong(), mWallMillis.getAsLong());
    }

    /** Milliseconds since a mark; at least what has truly passed. */
    public long elapsedMillisSince(Mark mark) {
        long monotonic = mMonotonicMillis.getAsLong() - mark.monotonicMillis();
        long wall = mWallMillis.getAsLong() - mark.wallMillis();
        return Math.max(monotonic, wall);
    }
}

package org.cornelway.time;

/**
 * A point in time by which something must have ended. Immutable.
 *
 * @param epochMillis milliseconds since the epoch
 */
public record Deadline(long epochMillis) implements Comparable<Deadline> {
    /** The deadline that lies a number of milliseconds after a point in time. */
    public static Deadline after(long nowMillis, long millis) {
        return new Deadline(nowMillis + millis);
    }

    /** True from the deadline on. */
    public boolean isPast(long nowMillis) {
        return nowMillis >= epochMillis;
    }

    /** Milliseconds left, at least 0. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, epochMillis - nowMillis);
    }

    /** The deadline moved earlier. */
    public Deadline minus(long millis) {
        return new Deadline(epochMillis - millis);
    }

    @Override
    public int compareTo(Deadline other) {
        return Long.compare(epochMillis, other.epochMillis);
    }
}

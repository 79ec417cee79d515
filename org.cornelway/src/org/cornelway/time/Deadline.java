package org.cornelway.time;

/**
 * A point in time by which an operation must have ended. Immutable.
 *
 * @param epochMillis milliseconds since the epoch
 */
public record Deadline(long epochMillis) implements Comparable<Deadline> {
    /** Returns the deadline a number of milliseconds after the given time. */
    public static Deadline after(long nowMillis, long millis) {
        return new Deadline(nowMillis + millis);
    }

    /** Whether the deadline has been reached. */
    public boolean isPast(long nowMillis) {
        return nowMillis >= epochMillis;
    }

    /** Returns the milliseconds left, at least 0. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, epochMillis - nowMillis);
    }

    /** Returns a deadline that is earlier by a number of milliseconds. */
    public Deadline minus(long millis) {
        return new Deadline(epochMillis - millis);
    }

    @Override
    public int compareTo(Deadline other) {
        return Long.compare(epochMillis, other.epochMillis);
    }
}

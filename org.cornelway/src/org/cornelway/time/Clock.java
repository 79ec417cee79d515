package org.cornelway.time;

/** Source of the current time. Implementations are thread-safe. */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since the epoch; never decreases within a process. */
    long nowMillis();

    /** Returns a clock that reads the wall clock once and then follows the monotonic timer. */
    static Clock system() {
        long wallStart = System.currentTimeMillis();
        long start = System.nanoTime();
        return () -> wallStart + (System.nanoTime() - start) / 1_000_000;
    }
}

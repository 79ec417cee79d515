package org.cornelway.time;

/** Tells the time. Implementations are thread-safe. */
@FunctionalInterface
public interface Clock {
    /** Milliseconds since the epoch; never goes back within a process. */
    long nowMillis();

    /** A clock anchored once to the wall clock and driven by the monotonic timer. */
    static Clock system() {
        long wallStart = System.currentTimeMillis();
        long start = System.nanoTime();
        return () -> wallStart + (System.nanoTime() - start) / 1_000_000;
    }
}

package org.cornelway.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts and logs violated invariants, and throws an exception on each in strict mode.
 *
 * <p>Tests use strict mode. A production process only counts and logs by default, so that a wrong
 * check does not make a request fail. Thread-safe.
 */
public final class Invariants {
    private static final Logger LOG = LogManager.getLogger(Invariants.class);

    private final Counter mViolations;
    private final boolean mStrict;

    /**
     * @param metrics registry that gets the counter {@code invariant.violations}
     * @param strict whether a violation throws an exception
     */
    public Invariants(MetricRegistry metrics, boolean strict) {
        mViolations = metrics.counter("invariant.violations");
        mStrict = strict;
    }

    /** Returns a checker in strict mode, for tests. */
    public static Invariants strict() {
        return new Invariants(new MetricRegistry(), true);
    }

    /**
     * Counts and logs a violation if the condition is false.
     *
     * @param condition the condition that must be true
     * @param message description of the violation, with the affected ids and numbers
     * @throws IllegalStateException if the condition is false, in strict mode only
     */
    public void check(boolean condition, String message) {
        if (condition) {
            return;
        }
        mViolations.inc();
        LOG.error("invariant violated: {}", message);
        if (mStrict) {
            throw new IllegalStateException("invariant violated: " + message);
        }
    }

    /** Returns the number of violations so far. */
    public long violations() {
        return mViolations.getCount();
    }
}

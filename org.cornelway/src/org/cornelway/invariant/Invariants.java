package org.cornelway.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts violated invariants, and throws on them where the process runs strictly.
 *
 * <p>Tests run strictly; production counts and logs, so that a fault in a check ends no request.
 * Thread-safe.
 */
public final class Invariants {
    private static final Logger LOG = LogManager.getLogger(Invariants.class);

    private final Counter mViolations;
    private final boolean mStrict;

    /**
     * @param metrics registry that gets the counter {@code invariant.violations}
     * @param strict whether a violation throws
     */
    public Invariants(MetricRegistry metrics, boolean strict) {
        mViolations = metrics.counter("invariant.violations");
        mStrict = strict;
    }

    /** Invariants that throw; for tests. */
    public static Invariants strict() {
        return new Invariants(new MetricRegistry(), true);
    }

    /**
     * Checks one condition.
     *
     * @param holds what must be true
     * @param message what was violated, naming the things and numbers
     */
    public void check(boolean holds, String message) {
        if (holds) {
            return;
        }
        mViolations.inc();
        LOG.error("invariant violated: {}", message);
        if (mStrict) {
            throw new IllegalStateException("invariant violated: " + message);
        }
    }

    /** Number of violations so far. */
    public long violations() {
        return mViolations.getCount();
    }
}

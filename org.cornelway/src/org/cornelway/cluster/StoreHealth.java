package org.cornelway.cluster;

import com.codahale.metrics.MetricRegistry;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;

/**
 * Tracks whether the key-value service is available to this process. Uses the outcomes of the calls
 * that the process makes for other purposes, and makes none of its own.
 *
 * <p>Confined to the control thread.
 */
public final class StoreHealth {
    /**
     * Minimum number of consecutive failures before the service counts as unavailable; a single
     * failure may only mean that a connection was closed.
     */
    private static final int OUTAGE_FAILURES = 2;

    /**
     * Minimum time from the first of these failures to the last before the service counts as
     * unavailable. Failures of several connections that are cut at once are closer together.
     */
    private static final long OUTAGE_MILLIS = 250;

    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final Runnable mOnUnavailable;
    private final Runnable mOnAvailable;
    private final Runnable mOnRecovered;
    private int mFailures;
    private long mFirstFailureMillis;
    private boolean mUnavailable;

    /**
     * @param onUnavailable called when the service becomes unavailable
     * @param onAvailable called when the service is available again
     * @param onRecovered called at the first success after any failure, also if the service did not
     *     count as unavailable: calls that were in flight may never be answered
     */
    public StoreHealth(
            Clock clock,
            EventLog log,
            MetricRegistry metrics,
            Runnable onUnavailable,
            Runnable onAvailable,
            Runnable onRecovered) {
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
        mOnUnavailable = onUnavailable;
        mOnAvailable = onAvailable;
        mOnRecovered = onRecovered;
    }

    /** Whether the service is unavailable to this process. */
    public boolean isUnavailable() {
        return mUnavailable;
    }

    /** Records a call that the service answered. */
    public void recordSuccess() {
        boolean recovered = mFailures > 0;
        mFailures = 0;
        if (mUnavailable) {
            mUnavailable = false;
            mLog.write("store.regained");
            mOnAvailable.run();
        }
        if (recovered) {
            mOnRecovered.run();
        }
    }

    /**
     * Records a call that failed.
     *
     * @param call name of the call in the log
     */
    public void recordFailure(String call, Throwable e) {
        long now = mClock.nowMillis();
        if (mFailures == 0) {
            mFirstFailureMillis = now;
        }
        mFailures++;
        mMetrics.counter("store.failures").inc();
        boolean isLasting = now - mFirstFailureMillis >= OUTAGE_MILLIS;
        if (!mUnavailable && mFailures >= OUTAGE_FAILURES && isLasting) {
            mUnavailable = true;
            mLog.write("store.lost", "call", call, "reason", String.valueOf(e.getMessage()));
            mOnUnavailable.run();
        }
    }
}

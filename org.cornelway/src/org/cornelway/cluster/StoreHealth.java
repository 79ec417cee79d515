package org.cornelway.cluster;

import com.codahale.metrics.MetricRegistry;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;

/**
 * Whether the key-value service serves this process, from the calls made anyway.
 *
 * <p>Confined to the control thread.
 */
public final class StoreHealth {
    /** Failures in a row after which the service may be away; one may be a cut connection. */
    private static final int AWAY_FAILURES = 2;

    /** Time without a call served after a failure; connections that are cut together take less. */
    private static final long AWAY_MILLIS = 250;

    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final Runnable mAway;
    private final Runnable mBack;
    private int mFailures;
    private long mFirstFailureMillis;
    private boolean mIsAway;

    /**
     * @param away called when the service stops serving
     * @param back called when it serves again
     */
    public StoreHealth(
            Clock clock, EventLog log, MetricRegistry metrics, Runnable away, Runnable back) {
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
        mAway = away;
        mBack = back;
    }

    /** Whether the service does not serve this process. */
    public boolean isUnavailable() {
        return mIsAway;
    }

    /** Notes a call that was served. */
    public void recordSuccess() {
        mFailures = 0;
        if (mIsAway) {
            mIsAway = false;
            mLog.write("store.regained");
            mBack.run();
        }
    }

    /** Notes a call that was not served. */
    public void recordFailure(String call, Throwable e) {
        long now = mClock.nowMillis();
        if (mFailures == 0) {
            mFirstFailureMillis = now;
        }
        mFailures++;
        mMetrics.counter("store.failures").inc();
        boolean lasting = now - mFirstFailureMillis >= AWAY_MILLIS;
        if (!mIsAway && mFailures >= AWAY_FAILURES && lasting) {
            mIsAway = true;
            mLog.write("store.lost", "call", call, "reason", String.valueOf(e.getMessage()));
            mAway.run();
        }
    }
}

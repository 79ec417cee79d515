package org.cornelway.cluster;

import com.codahale.metrics.MetricRegistry;
import org.cornelway.eventlog.EventLog;

/**
 * Whether the key-value service serves this process, from the calls made anyway.
 *
 * <p>Confined to the control thread.
 */
public final class StoreHealth {
    /** Failures in a row after which the service counts as away; one may be a cut connection. */
    private static final int AWAY_FAILURES = 2;

    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final Runnable mAway;
    private final Runnable mBack;
    private int mFailures;
    private boolean mIsAway;

    /**
     * @param away called when the service stops serving
     * @param back called when it serves again
     */
    public StoreHealth(EventLog log, MetricRegistry metrics, Runnable away, Runnable back) {
        mLog = log;
        mMetrics = metrics;
        mAway = away;
        mBack = back;
    }

    /** Whether the service does not serve this process. */
    public boolean isAway() {
        return mIsAway;
    }

    /** Notes a call that was served. */
    public void answered() {
        mFailures = 0;
        if (mIsAway) {
            mIsAway = false;
            mLog.write("store.regained");
            mBack.run();
        }
    }

    /** Notes a call that was not served. */
    public void failed(String call, Throwable e) {
        mFailures++;
        mMetrics.counter("store.failures").inc();
        if (!mIsAway && mFailures >= AWAY_FAILURES) {
            mIsAway = true;
            mLog.write("store.lost", "call", call, "reason", String.valueOf(e.getMessage()));
            mAway.run();
        }
    }
}

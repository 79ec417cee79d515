package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.time.Clock;

/**
 * Limits how often this process resends calls of each service within a sliding window.
 *
 * <p>Invariant: in any window, at most {@code ratio * calls + slack / processes} resends are
 * granted for a service, where {@code calls} counts the calls that this process accepted for the
 * service. All processes together are then granted at most {@code ratio * calls + slack} resends,
 * where {@code calls} counts the calls of all processes.
 *
 * <p>Confined to the traffic thread, except for {@link #setRatioAndSlack}.
 */
public final class SlidingWindowRetryBudget {
    /** Number of buckets that the window is divided into. */
    private static final int BUCKETS = 20;

    /**
     * Fraction of the limit that is used, since the windows of other processes are not aligned with
     * the windows of this one.
     */
    private static final double SAFETY_FACTOR = 0.7;

    private final Clock mClock;
    private final long mBucketMillis;
    private volatile double mRatio;
    private volatile double mSlack;
    private final Map<String, Window> mWindows = new HashMap<>();

    /** The buckets of one service. */
    private static final class Window {
        private final long[] mBucketNumbers = new long[BUCKETS];
        private final int[] mCalls = new int[BUCKETS];
        private final int[] mResends = new int[BUCKETS];
    }

    /**
     * @param windowMillis length of the window
     * @param ratio number of resends allowed per call
     * @param slack number of additional resends allowed per window, over all processes
     */
    public SlidingWindowRetryBudget(Clock clock, long windowMillis, double ratio, double slack) {
        mClock = clock;
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
        mRatio = ratio;
        mSlack = slack;
    }

    /** Sets a new ratio and slack; the counts in the window are kept. Thread-safe. */
    public void setRatioAndSlack(double ratio, double slack) {
        mRatio = ratio;
        mSlack = slack;
    }

    /** Records a call that this process accepted for a service. */
    public void recordCall(String service) {
        Window window = mWindows.computeIfAbsent(service, key -> new Window());
        window.mCalls[currentBucket(window)]++;
    }

    /**
     * Takes one resend from the budget.
     *
     * @param processes number of processes that share the slack; at least 1
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire(String service, int processes) {
        return tryAcquire(service, processes, 1);
    }

    /**
     * Takes one resend from the budget unless more than a share of the budget is used with it.
     *
     * @param processes number of processes that share the slack; at least 1
     * @param share share of the budget, up to 1
     * @return false if the share is used up
     */
    public boolean tryAcquire(String service, int processes, double share) {
        Window window = mWindows.computeIfAbsent(service, key -> new Window());
        int bucket = currentBucket(window);
        long lastExpiredBucketNumber = mClock.nowMillis() / mBucketMillis - BUCKETS;
        int calls = 0;
        int resends = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (window.mBucketNumbers[i] > lastExpiredBucketNumber) {
                calls += window.mCalls[i];
                resends += window.mResends[i];
            }
        }
        double limit = SAFETY_FACTOR * (mRatio * calls + mSlack / Math.max(1, processes));
        if (resends + 1 > share * limit) {
            return false;
        }
        window.mResends[bucket]++;
        return true;
    }

    /**
     * Returns the index of the current bucket, after clearing its counts if they belong to an
     * earlier bucket at the same index.
     */
    private int currentBucket(Window window) {
        long bucketNumber = mClock.nowMillis() / mBucketMillis;
        int index = (int) (bucketNumber % BUCKETS);
        if (window.mBucketNumbers[index] != bucketNumber) {
            window.mBucketNumbers[index] = bucketNumber;
            window.mCalls[index] = 0;
            window.mResends[index] = 0;
        }
        return index;
    }
}

package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.time.Clock;

/**
 * Bounds what is sent again to a service within a sliding window.
 *
 * <p>Invariant: in any window, resends of a service stay within this process's share of the slack
 * plus a share of the calls that it took for the service. The bound over all processes holds
 * because each keeps to its part. Confined to the traffic thread.
 */
public final class SlidingWindowRetryBudget {
    /** Parts that the window slides by. */
    private static final int BUCKETS = 20;

    /** Part of the bound that is used: windows of other processes are not aligned with ours. */
    private static final double SAFETY = 0.7;

    private final Clock mClock;
    private final long mBucketMillis;
    private volatile double mRatio;
    private volatile double mSlack;
    private final Map<String, Window> mWindows = new HashMap<>();

    /** Counts of one service. */
    private static final class Window {
        private final long[] mStamps = new long[BUCKETS];
        private final int[] mCalls = new int[BUCKETS];
        private final int[] mResends = new int[BUCKETS];
    }

    /**
     * @param windowMillis length of the window
     * @param ratio resends for each call
     * @param slack resends besides, over all processes
     */
    public SlidingWindowRetryBudget(Clock clock, long windowMillis, double ratio, double slack) {
        mClock = clock;
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
        mRatio = ratio;
        mSlack = slack;
    }

    /** Takes over other bounds; the window stays. Thread-safe. */
    public void setBounds(double ratio, double slack) {
        mRatio = ratio;
        mSlack = slack;
    }

    /** Notes a caller's call for a service. */
    public void recordCall(String service) {
        Window window = mWindows.computeIfAbsent(service, key -> new Window());
        window.mCalls[bucket(window)]++;
    }

    /**
     * Takes one resend; false if the budget is spent.
     *
     * @param processes processes that share the slack; at least 1
     */
    public boolean tryAcquire(String service, int processes) {
        Window window = mWindows.computeIfAbsent(service, key -> new Window());
        int bucket = bucket(window);
        long oldest = mClock.nowMillis() / mBucketMillis - BUCKETS;
        int calls = 0;
        int resends = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (window.mStamps[i] > oldest) {
                calls += window.mCalls[i];
                resends += window.mResends[i];
            }
        }
        double bound = SAFETY * (mRatio * calls + mSlack / Math.max(1, processes));
        if (resends + 1 > bound) {
            return false;
        }
        window.mResends[bucket]++;
        return true;
    }

    private int bucket(Window window) {
        long stamp = mClock.nowMillis() / mBucketMillis;
        int index = (int) (stamp % BUCKETS);
        if (window.mStamps[index] != stamp) {
            window.mStamps[index] = stamp;
            window.mCalls[index] = 0;
            window.mResends[index] = 0;
        }
        return index;
    }
}

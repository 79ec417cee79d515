package org.cornelway.entry;

/**
 * Bounds the work that is sent again to a share of the work that comes in.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mBurst;
    private double mTokens;

    /**
     * @param share retries for each request, over time
     * @param burst retries that may be saved up
     */
    public RetryBudget(double share, double burst) {
        mShare = share;
        mBurst = burst;
        mTokens = burst;
    }

    /** Notes a request that came in. */
    public synchronized void recordRequest() {
        mTokens = Math.min(mBurst, mTokens + mShare);
    }

    /** Takes one retry; false if the budget is spent. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}

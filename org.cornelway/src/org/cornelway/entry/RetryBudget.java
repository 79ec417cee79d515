package org.cornelway.entry;

/**
 * Limits retries to a share of the incoming requests by means of a token bucket.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mBurst;
    private double mTokens;

    /**
     * @param share retries that each incoming request adds to the budget
     * @param burst largest number of unused retries that the budget holds, and the number that it
     *     starts with
     */
    public RetryBudget(double share, double burst) {
        mShare = share;
        mBurst = burst;
        mTokens = burst;
    }

    /** Records an incoming request, which adds its share to the budget. */
    public synchronized void recordRequest() {
        mTokens = Math.min(mBurst, mTokens + mShare);
    }

    /** Takes one retry from the budget; returns false if less than one retry is left. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}

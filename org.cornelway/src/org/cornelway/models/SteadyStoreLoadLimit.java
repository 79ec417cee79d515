package org.cornelway.models;

/**
 * Limits how many loads read the checkpoint store at the same time, where many models must be
 * loaded from it one after the other.
 *
 * <p>In contrast to {@link StoreLoadLimit}, it begins low, judges a load by the largest number of
 * loads beside it and not by the number at its start, and seldom tries a number again that was too
 * many. Loads beyond the store's full speed gain nothing and keep more engines occupied. Confined
 * to the control thread.
 */
final class SteadyStoreLoadLimit {
    private static final int MIN_LIMIT = 1;

    /** A load that takes this many times its usual duration counts as slowed by other loads. */
    private static final double SLOW_RATIO = 1.25;

    /** Limit until the first load has ended. */
    private static final int FIRST_LIMIT = 2;

    /**
     * Loads at full speed after which a number of loads that was too many is tried again; a trial
     * delays two loads.
     */
    private static final int LOADS_BEFORE_TRIAL = 8;

    private final int mMaxLimit;
    private int mLimit;
    private int mTooMany;
    private int mLoadsBeforeTrial;

    /**
     * @param maxLimit highest limit
     */
    SteadyStoreLoadLimit(int maxLimit) {
        mMaxLimit = maxLimit;
        mLimit = Math.min(FIRST_LIMIT, maxLimit);
        mTooMany = maxLimit + 1;
    }

    /** Returns the number of loads that may read the store at the same time. */
    int limit() {
        return mLimit;
    }

    /**
     * Records the end of a load.
     *
     * @param expectedMillis duration of a load that does not compete with others; positive
     * @param actualMillis duration of this load
     * @param concurrentLoads largest number of loads that read the store at once during it, itself
     *     included
     */
    void recordLoad(long expectedMillis, long actualMillis, int concurrentLoads) {
        double ratio = (double) actualMillis / expectedMillis;
        if (ratio > SLOW_RATIO) {
            int fullSpeed = (int) Math.round(concurrentLoads / ratio);
            mLimit = Math.max(MIN_LIMIT, Math.min(mLimit, fullSpeed));
            mTooMany = mLimit + 1;
            mLoadsBeforeTrial = LOADS_BEFORE_TRIAL;
        } else if (concurrentLoads >= mLimit) {
            mLoadsBeforeTrial--;
            boolean mayRise = mLimit + 1 < mTooMany || mLoadsBeforeTrial <= 0;
            mLimit = mayRise ? Math.min(mMaxLimit, mLimit + 1) : mLimit;
        }
    }
}

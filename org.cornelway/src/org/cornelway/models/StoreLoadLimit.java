package org.cornelway.models;

/**
 * Limits how many loads read the checkpoint store at the same time, by how long loads take.
 *
 * <p>Beyond some number of concurrent loads, which the platform does not state, the store's
 * throughput is shared and each load takes longer, so that a load that begins later delays those
 * that calls wait for. The limit falls to the number at which the last slow load would have run at
 * full speed, and rises by one when a load runs at full speed while the limit is reached. Confined
 * to the control thread.
 */
final class StoreLoadLimit {
    private static final int MIN_LIMIT = 1;

    /** A load that takes this many times its usual duration counts as slowed by other loads. */
    private static final double SLOW_RATIO = 1.25;

    private final int mMaxLimit;
    private int mLimit;

    /**
     * @param maxLimit highest limit, which also applies until the first load has ended
     */
    StoreLoadLimit(int maxLimit) {
        mMaxLimit = maxLimit;
        mLimit = maxLimit;
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
     * @param concurrentLoads loads that read the store when it began, itself included
     */
    void recordLoad(long expectedMillis, long actualMillis, int concurrentLoads) {
        double ratio = (double) actualMillis / expectedMillis;
        if (ratio > SLOW_RATIO) {
            int fullSpeed = (int) Math.round(concurrentLoads / ratio);
            mLimit = Math.max(MIN_LIMIT, Math.min(mLimit, fullSpeed));
        } else if (concurrentLoads >= mLimit) {
            mLimit = Math.min(mMaxLimit, mLimit + 1);
        }
    }
}

package org.cornelway.quota;

/**
 * The number of entries among which quotas are divided, from the numbers known at each time.
 *
 * <p>Too small a number would let the entries use more than the quota. Entries that are cut off
 * disappear from the list of members while they still use their shares, so the largest number known
 * within {@link #RETENTION_MILLIS} counts. Entries that start together learn of one another over
 * some seconds, so {@link #UNSETTLED_ENTRIES} counts at first, unless the key-value service holds
 * their number. Confined to one thread.
 */
public final class EntryCount {
    /** Number assumed while the members may still be incomplete. */
    static final int UNSETTLED_ENTRIES = 32;

    /** Time from the start of a process until its list of members is taken to be complete. */
    static final long SETTLE_MILLIS = 5_000;

    /** Time for which a larger number is remembered, at least. */
    static final long RETENTION_MILLIS = 600_000;

    private final long mStartMillis;
    private long mPeriodStartMillis;
    private int mLargest;
    private int mLargestBefore;
    private boolean mHasStored;

    /**
     * @param nowMillis start of the process
     */
    public EntryCount(long nowMillis) {
        mStartMillis = nowMillis;
        mPeriodStartMillis = nowMillis;
    }

    /** Records the number of members known now. */
    public void record(int members, long nowMillis) {
        if (nowMillis - mPeriodStartMillis >= RETENTION_MILLIS) {
            mPeriodStartMillis = nowMillis;
            mLargestBefore = mLargest;
            mLargest = 0;
        }
        mLargest = Math.max(mLargest, members);
    }

    /** Records the number that the key-value service holds, which is complete; 0 if none. */
    public void recordStored(int entries, long nowMillis) {
        mHasStored |= entries > 0;
        record(entries, nowMillis);
    }

    /** Whether another entry is known, or long enough has passed to know of one. */
    public boolean isKnown(long nowMillis) {
        return Math.max(mLargest, mLargestBefore) > 1 || isSettled(nowMillis);
    }

    /** Whether the number is taken to be complete. */
    public boolean isSettled(long nowMillis) {
        return mHasStored || nowMillis - mStartMillis >= SETTLE_MILLIS;
    }

    /** Returns the number of entries to count with, at least 1. */
    public int get(long nowMillis) {
        int known = Math.max(1, Math.max(mLargest, mLargestBefore));
        return isSettled(nowMillis) ? known : Math.max(known, UNSETTLED_ENTRIES);
    }
}

package org.cornelway.models;

/**
 * When the next call to an engine may be made, after failures and conflicts. Times are in
 * milliseconds since the epoch. Confined to the control thread.
 */
final class CallPacing {
    /** Minimum delay before an order that conflicted with another one is retried. */
    private static final long MIN_CONFLICT_DELAY_MILLIS = 40;

    /** Maximum delay before an order that conflicted with another one is retried. */
    private static final long MAX_CONFLICT_DELAY_MILLIS = 250;

    /** Number of consecutive conflicts after which a report is read. */
    private static final int CONFLICTS_PER_REPORT = 5;

    /** Delay after the first failed call; doubles with each further failure up to the maximum. */
    private static final long MIN_RETRY_DELAY_MILLIS = 150;

    /** Maximum delay after a failed call. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1_200;

    /** Number of consecutive failed calls after which an engine counts as unreachable. */
    private static final int UNREACHABLE_FAILURES = 2;

    private long mNextCallMillis;
    private int mConsecutiveConflicts;
    private int mConsecutiveFailures;

    /** Whether a call may be made now. */
    boolean isCallDue(long nowMillis) {
        return nowMillis >= mNextCallMillis;
    }

    /** Whether the engine counts as unreachable. */
    boolean isUnreachable() {
        return mConsecutiveFailures >= UNREACHABLE_FAILURES;
    }

    /** Delays the next call. */
    void delayUntil(long millis) {
        mNextCallMillis = millis;
    }

    /** Records that the engine replied to a call. */
    void recordReply() {
        mConsecutiveFailures = 0;
    }

    /** Records that the series of conflicts has ended. */
    void recordNoConflict() {
        mConsecutiveConflicts = 0;
    }

    /** Records a call without a usable reply; the next call is made after a longer delay. */
    void recordFailure(long nowMillis) {
        mNextCallMillis =
                nowMillis
                        + Math.min(
                                MAX_RETRY_DELAY_MILLIS,
                                MIN_RETRY_DELAY_MILLIS << Math.min(mConsecutiveFailures, 5));
        mConsecutiveFailures++;
    }

    /**
     * Records that an order conflicted with another one, and schedules its retry.
     *
     * @param busyUntilMillis expected end of the orders before it
     * @return when the order is retried
     */
    long recordConflict(long nowMillis, long busyUntilMillis) {
        mConsecutiveConflicts++;
        long delayMillis = Math.max(MIN_CONFLICT_DELAY_MILLIS, (busyUntilMillis - nowMillis) / 3);
        mNextCallMillis = nowMillis + Math.min(MAX_CONFLICT_DELAY_MILLIS, delayMillis);
        return mNextCallMillis;
    }

    /**
     * Whether a report is read before the retry. Usually none is, because reports lag; but only a
     * report can show that the engine has accepted a different number of orders.
     */
    boolean isReportDueAfterConflict() {
        return mConsecutiveConflicts % CONFLICTS_PER_REPORT == 0;
    }
}

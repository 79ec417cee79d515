package org.cornelway.cluster;

import org.cornelway.platform.StoreRevision;
import org.cornelway.time.Deadline;

/**
 * Decides from when on an instance may begin a term as controller.
 *
 * <p>Engines that don't check fencing numbers can't tell which of two holders is the current one,
 * so holders must not alternate quickly: if another instance has held a term since this one gave
 * its last order, this one waits for the re-election interval. What an earlier process of the
 * instance did counts as done until this process was started, since nothing on the instance
 * outlives a process.
 *
 * <p>Confined to the control thread. Times are those of a monotonic clock, which may stop while the
 * host is suspended; a wait is then longer.
 */
final class ReelectionPolicy {
    /**
     * Longest time from the end of a term until an order that was sent before it has arrived;
     * longer than the time limit of an order.
     */
    private static final long ARRIVAL_MILLIS = 500;

    private final String mInstance;
    private final long mIntervalMillis;

    /** From when on another holder's orders would not be followed too soon. */
    private Deadline mReelection;

    /** Until when a controller from before a restore may hold its lease. */
    private Deadline mEarlierLeasesEnd = new Deadline(0);

    private boolean mRestored;

    /** Whether a restore of the key-value service ended the last term of this process. */
    private boolean mHeldAtRestore;

    /**
     * @param instance id of this instance
     * @param reelectionMillis shortest time between two orders of an instance if another instance
     *     has given orders in between
     * @param nowMillis current time; the process was started before
     */
    ReelectionPolicy(String instance, long reelectionMillis, long nowMillis) {
        mInstance = instance;
        // A controller that has not noticed a restore may give orders until its lease ends.
        mIntervalMillis = Math.max(reelectionMillis + ARRIVAL_MILLIS, ProcessLease.TTL_MILLIS);
        mReelection = Deadline.after(nowMillis, mIntervalMillis);
    }

    /** Records the end of a term of this process. */
    void onTermEnded(long nowMillis) {
        mHeldAtRestore = false;
        mReelection = Deadline.after(nowMillis, mIntervalMillis);
    }

    /**
     * Records that the key-value service was restored from a copy; called after {@link
     * #onTermEnded} if that has ended a term.
     *
     * @param wasController whether the restore has ended a term of this process
     */
    void onStoreRestored(boolean wasController, long nowMillis) {
        mRestored = true;
        mHeldAtRestore = wasController;
        mEarlierLeasesEnd =
                wasController
                        ? new Deadline(0)
                        : Deadline.after(nowMillis, ProcessLease.TTL_MILLIS);
    }

    /** Whether no controller from before a restore can hold its lease any more. */
    boolean areEarlierLeasesOver(long nowMillis) {
        return mEarlierLeasesEnd.isPast(nowMillis);
    }

    /**
     * Returns from when on this process may begin a term.
     *
     * @param stored the last terms as just read
     */
    Deadline mayBeginFrom(TermRecord.Stored stored) {
        boolean wasSucceeded =
                isCurrent(stored) ? stored.terms().mayHaveSuccessorOf(mInstance) : !mHeldAtRestore;
        Deadline from = wasSucceeded ? mReelection : new Deadline(0);
        return from.compareTo(mEarlierLeasesEnd) > 0 ? from : mEarlierLeasesEnd;
    }

    /** Returns from when on any instance may follow a term that begins now. */
    Deadline settledFrom(long nowMillis) {
        return Deadline.after(nowMillis, mIntervalMillis);
    }

    /** Returns the record to be written at the begin of a term of this process. */
    TermRecord next(TermRecord.Stored stored, long fencingNumber) {
        TermRecord before = isCurrent(stored) ? stored.terms() : stored.terms().incomplete();
        return before.withTerm(fencingNumber, mInstance);
    }

    /** Whether the record was not replaced by an older one in a restore. */
    private boolean isCurrent(TermRecord.Stored stored) {
        if (stored.isAbsent()) {
            return !mRestored;
        }
        return StoreRevision.era(stored.terms().fencingNumber())
                == StoreRevision.era(stored.revision());
    }
}

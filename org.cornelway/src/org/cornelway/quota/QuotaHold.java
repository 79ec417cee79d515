package org.cornelway.quota;

import org.cornelway.time.Deadline;

/** Tokens that are set aside for one admitted call until it is sent. Confined to one thread. */
public final class QuotaHold {
    private final String mCustomer;
    private final double mCost;
    private final boolean mGranted;
    private final Deadline mUntil;
    private boolean mEnded;

    /**
     * @param granted whether the tokens are from a grant of the ledger
     */
    QuotaHold(String customer, double cost, boolean granted, Deadline until) {
        mCustomer = customer;
        mCost = cost;
        mGranted = granted;
        mUntil = until;
    }

    String customer() {
        return mCustomer;
    }

    double cost() {
        return mCost;
    }

    boolean isGranted() {
        return mGranted;
    }

    boolean isPast(long nowMillis) {
        return mUntil.isPast(nowMillis);
    }

    /** Whether the tokens are still set aside. */
    public boolean isValid(long nowMillis) {
        return !mEnded && !isPast(nowMillis);
    }

    /** Ends the hold; returns whether it had not ended before. */
    boolean end() {
        boolean wasOpen = !mEnded;
        mEnded = true;
        return wasOpen;
    }
}

package org.cornelway.overload;

/**
 * A sum in which an amount counts less the older it is. Confined to the thread of its owner.
 *
 * <p>After the time constant an amount counts for 1/e of what it was.
 */
final class DecayingSum {
    private final double mConstantMillis;
    private double mSum;
    private long mUpdatedMillis;

    DecayingSum(double constantMillis) {
        mConstantMillis = constantMillis;
    }

    void add(double amount, long nowMillis) {
        mSum = get(nowMillis) + amount;
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }

    double get(long nowMillis) {
        return mSum * Math.exp(-Math.max(0, nowMillis - mUpdatedMillis) / mConstantMillis);
    }

    /** Returns the mean amount per second. */
    double perSecond(long nowMillis) {
        return get(nowMillis) / mConstantMillis * 1_000;
    }
}

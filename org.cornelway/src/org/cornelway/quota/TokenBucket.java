package org.cornelway.quota;

/** Accumulates tokens at a rate, up to a depth. Begins empty. Confined to one thread. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Longest wait that is told, for a call that costs more than the bucket ever holds. */
    private static final long MAX_WAIT_MILLIS = 60_000;

    private double mLevel;
    private long mFilledMillis;

    TokenBucket(long nowMillis) {
        mFilledMillis = nowMillis;
    }

    double level() {
        return mLevel;
    }

    /** Adds what has accumulated since the last time; a smaller depth takes from what is there. */
    void fill(double perSecond, double depth, long nowMillis) {
        double seconds = Math.max(0, nowMillis - mFilledMillis) / MILLIS_PER_SECOND;
        mFilledMillis = Math.max(mFilledMillis, nowMillis);
        mLevel = Math.max(0, Math.min(depth, mLevel + perSecond * seconds));
    }

    /** Adds tokens; the next {@link #fill} limits them to the depth. */
    void put(double tokens) {
        mLevel += tokens;
    }

    /** Takes tokens if there are enough. */
    boolean take(double tokens) {
        if (mLevel < tokens) {
            return false;
        }
        mLevel -= tokens;
        return true;
    }

    /** Returns the time until a number of tokens is there, at a rate in tokens per second. */
    long waitMillis(double tokens, double perSecond) {
        double lacking = Math.max(0, tokens - mLevel);
        if (lacking <= 0) {
            return 0;
        }
        return perSecond <= 0
                ? MAX_WAIT_MILLIS
                : (long)
                        Math.min(
                                MAX_WAIT_MILLIS,
                                Math.ceil(lacking / perSecond * MILLIS_PER_SECOND));
    }
}

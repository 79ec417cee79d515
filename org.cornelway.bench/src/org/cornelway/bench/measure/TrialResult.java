package org.cornelway.bench.measure;

import org.HdrHistogram.Histogram;

/** What became of the requests of one trial. Not thread-safe; used by the thread of its trial. */
final class TrialResult {
    private static final double P99 = 99;
    private static final int DIGITS = 3;

    private final Histogram mMeasured = new Histogram(DIGITS);
    private int mAnswered;
    private int mRefused;
    private int mLate;
    private int mOpen;
    private int mViolations;

    void requestStarted() {
        mOpen++;
    }

    void answered(boolean measured, long millis) {
        mOpen--;
        mAnswered++;
        if (measured) {
            mMeasured.recordValue(millis);
        }
    }

    /** A refused or late request that is measured counts with its whole deadline. */
    void recordFailure(boolean measured, boolean notRun, long deadlineMillis) {
        mOpen--;
        if (notRun) {
            mRefused++;
        } else {
            mLate++;
        }
        if (measured) {
            mMeasured.recordValue(deadlineMillis);
        }
    }

    void recordViolation() {
        mViolations++;
    }

    long p99Millis() {
        return mMeasured.getValueAtPercentile(P99);
    }

    int answered() {
        return mAnswered;
    }

    int refused() {
        return mRefused;
    }

    int late() {
        return mLate;
    }

    int unfinished() {
        return mOpen;
    }

    int violations() {
        return mViolations;
    }
}

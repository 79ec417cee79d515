package org.cornelway.bench.measure;

import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of the requests of one trial and records the latencies of the measured ones.
 *
 * <p>Not thread-safe; used only by the thread of its trial.
 */
final class TrialResult {
    private static final double P99 = 99;
    private static final int DIGITS = 3;

    private final Histogram mMeasured = new Histogram(DIGITS);
    private int mAnswered;
    private int mRefused;
    private int mLate;
    private int mUnfinished;
    private int mViolations;

    /** Counts a request as unfinished until its outcome is recorded. */
    void requestStarted() {
        mUnfinished++;
    }

    /**
     * Records an answered request.
     *
     * @param measured whether the latency is recorded
     * @param millis latency of the request
     */
    void recordAnswer(boolean measured, long millis) {
        mUnfinished--;
        mAnswered++;
        if (measured) {
            mMeasured.recordValue(millis);
        }
    }

    /**
     * Records a failed request: as refused if it did not run, else as late. If it is measured, the
     * time that it had until its deadline is recorded as its latency.
     *
     * @param deadlineMillis time from the start of the request to its deadline
     */
    void recordFailure(boolean measured, boolean notRun, long deadlineMillis) {
        mUnfinished--;
        if (notRun) {
            mRefused++;
        } else {
            mLate++;
        }
        if (measured) {
            mMeasured.recordValue(deadlineMillis);
        }
    }

    /** Records an answer with the wrong number of tokens. */
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
        return mUnfinished;
    }

    int violations() {
        return mViolations;
    }
}

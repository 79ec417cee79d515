package org.cornelway.bench.measure;

import org.HdrHistogram.Histogram;

/**
 * Outcome counts of the requests of one trial, and the latencies of those that are measured.
 *
 * <p>Not thread-safe; used only by the thread of its trial.
 */
final class TrialResult {
    private static final double P99 = 99;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mLatencies = new Histogram(SIGNIFICANT_DIGITS);
    private int mAnswered;
    private int mRefused;
    private int mLate;
    private int mUnfinished;
    private int mViolations;

    /** Records the start of a request, which counts as unfinished until its outcome is recorded. */
    void recordStart() {
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
            mLatencies.recordValue(millis);
        }
    }

    /**
     * Records a failed request: as refused if it did not run, else as late.
     *
     * @param measured whether the timeout is recorded as the latency of the request
     * @param notRun whether it is certain that the request did not run
     * @param timeoutMillis time from the start of the request to its deadline
     */
    void recordFailure(boolean measured, boolean notRun, long timeoutMillis) {
        mUnfinished--;
        if (notRun) {
            mRefused++;
        } else {
            mLate++;
        }
        if (measured) {
            mLatencies.recordValue(timeoutMillis);
        }
    }

    /** Records an answer with the wrong number of tokens. */
    void recordViolation() {
        mViolations++;
    }

    /** Returns the 99th percentile of the recorded latencies, 0 if there are none. */
    long p99Millis() {
        return mLatencies.getValueAtPercentile(P99);
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

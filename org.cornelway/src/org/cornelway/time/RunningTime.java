package org.cornelway.time;

/**
 * Counts the time for which this process runs, in steps.
 *
 * <p>A process that is frozen or gets no processor takes no step, and a step counts for a limited
 * time however late it is taken. What is measured here therefore lets all threads of the process
 * run, and a pause of the whole process counts as one step. Confined to one thread.
 */
public final class RunningTime {
    private final long mMaxStepMillis;
    private long mLastStepMillis;
    private long mRunningMillis;

    /**
     * @param nowMillis current time of a monotonic clock
     * @param maxStepMillis longest time that a step counts for
     */
    public RunningTime(long nowMillis, long maxStepMillis) {
        mLastStepMillis = nowMillis;
        mMaxStepMillis = maxStepMillis;
    }

    /**
     * Takes a step.
     *
     * @param nowMillis current time of the same clock
     * @return the time for which the process has run since this object was created, in milliseconds
     */
    public long step(long nowMillis) {
        mRunningMillis += Math.max(0, Math.min(nowMillis - mLastStepMillis, mMaxStepMillis));
        mLastStepMillis = nowMillis;
        return mRunningMillis;
    }
}

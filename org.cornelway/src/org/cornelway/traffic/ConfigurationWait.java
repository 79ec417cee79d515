package org.cornelway.traffic;

import org.cornelway.time.Deadline;

/**
 * The wait of one call for the first configuration of a process that has just started.
 *
 * <p>Answers the load after a loss of power: the callers of all instances return at once, while
 * each process reads the configuration within a fraction of a second. A call that waits here keeps
 * its caller's retry, which a refusal would use up at another process that is starting too.
 * Confined to the traffic thread; lives as long as its call.
 */
final class ConfigurationWait {
    /** Longest wait; a process that knows no configuration for longer has lost the store. */
    static final long MAX_WAIT_MILLIS = 1_000;

    /** Share of its caller's time that a call waits at most, so that the caller can still retry. */
    private static final double WAIT_SHARE = 0.33;

    private final Deadline mUntil;
    private boolean mWaiting;

    /**
     * @param arrivedMillis when the call arrived, in milliseconds since the epoch
     * @param callerDeadline when its caller stops waiting
     */
    ConfigurationWait(long arrivedMillis, Deadline callerDeadline) {
        double share = WAIT_SHARE * callerDeadline.remainingMillis(arrivedMillis);
        mUntil = Deadline.after(arrivedMillis, (long) Math.min(MAX_WAIT_MILLIS, share));
    }

    /**
     * Lets a call wait that needs a configuration, or wait on; returns false if it has waited long
     * enough.
     */
    boolean begin(long nowMillis) {
        mWaiting = !mUntil.isPast(nowMillis);
        return mWaiting;
    }

    /** Whether the call waits. */
    boolean isWaiting() {
        return mWaiting;
    }

    /** Ends the wait; returns whether the call waited. */
    boolean end() {
        boolean waited = mWaiting;
        mWaiting = false;
        return waited;
    }
}

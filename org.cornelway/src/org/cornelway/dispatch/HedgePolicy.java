package org.cornelway.dispatch;

import org.cornelway.route.CallKind;

/**
 * Decides which of two attempts of a call ends if neither server has gone on in the time for which
 * both may work on the call. Answers streams of servers that are silent for a moment, and of
 * servers that hang, alone or with all their calls. Pure and thread-safe.
 */
public final class HedgePolicy {
    /** Silence after which a server is not expected to go on. */
    private static final long MAX_PAUSE_MILLIS = 1_500;

    /**
     * Longest time for which a hedge of a stream runs beside a silent attempt. The platform lets
     * two servers work on one stream for 400 ms; the rest is left for the way and for a late
     * traffic thread.
     */
    public static final long MAX_HEDGE_MILLIS = 250;

    private HedgePolicy() {}

    /**
     * Whether a call may be sent to another server while its silent server may still work on it.
     *
     * @param kind kind of the call
     * @param lateMillis how late the traffic thread is; 0 if it does not count as late
     */
    public static boolean canHedge(CallKind kind, long lateMillis) {
        return kind != CallKind.STREAM || lateMillis == 0;
    }

    /** Whether a server was silent for so long that it is not expected to go on with a stream. */
    public static boolean isLeft(long silentMillis) {
        return silentMillis >= MAX_PAUSE_MILLIS;
    }

    /**
     * Returns for how much longer both attempts may run. A call without a stream may run at two
     * servers at once, so that its first answer is given up only if it is not expected any more.
     *
     * @param kind kind of the call
     * @param silentMillis time for which the silent server has sent nothing for the call
     * @param hedgeMillis time since the call was sent to the other server
     */
    public static long remainingMillis(CallKind kind, long silentMillis, long hedgeMillis) {
        return kind == CallKind.STREAM
                ? MAX_HEDGE_MILLIS - hedgeMillis
                : MAX_PAUSE_MILLIS - silentMillis;
    }

    /**
     * Whether the attempt at the silent server ends, and not the hedge. A server that works on
     * other calls is not expected to go on with this one.
     *
     * @param kind kind of the call
     * @param silentMillis time for which the silent server has sent nothing for the call
     * @param serverActive whether that server works on other calls
     */
    public static boolean endsSilentAttempt(
            CallKind kind, long silentMillis, boolean serverActive) {
        return kind != CallKind.STREAM || serverActive || isLeft(silentMillis);
    }
}

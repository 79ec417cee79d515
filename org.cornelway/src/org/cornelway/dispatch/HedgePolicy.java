package org.cornelway.dispatch;

import java.util.OptionalLong;
import org.cornelway.route.CallKind;

/**
 * Decides when a call is sent to a second server although the first one may still answer, and which
 * of the two attempts ends if neither server has gone on in the time for which both may work on the
 * call. Answers streams of servers that are silent for a moment, of servers that hang, alone or
 * with all their calls, and of servers that are slow for a moment. Pure and thread-safe.
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

    /** Time that a hedge needs besides the work of its server: calls are checked periodically. */
    private static final long CHECK_MILLIS = 50;

    /**
     * Part of the retry budget that hedges before the objective may use; the rest is left for
     * servers that fail.
     */
    public static final double EARLY_BUDGET_SHARE = 0.5;

    private HedgePolicy() {}

    /**
     * Whether a call without an answer is sent to a second server so that it meets its objective:
     * the server has taken longer than it does for nearly all calls, and a second one could not
     * answer in time later. A stream stays at a server that is not slow against its peers, since
     * its prompt may be long; another call stays there for twice the time.
     *
     * @param slow whether the server is slow against its peers
     * @param silentMillis time for which it has sent nothing for the call
     * @param usualMillis 95th percentile of the time to such an answer; empty if it is not known
     * @param remainingMillis time to the latency objective; negative after it
     */
    public static boolean isDueBeforeObjective(
            CallKind kind,
            boolean slow,
            long silentMillis,
            OptionalLong usualMillis,
            long remainingMillis) {
        if (usualMillis.isEmpty() || !slow && kind == CallKind.STREAM) {
            return false;
        }
        long usual = usualMillis.getAsLong();
        return silentMillis >= (slow ? usual : 2 * usual)
                && remainingMillis <= usual + CHECK_MILLIS;
    }

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

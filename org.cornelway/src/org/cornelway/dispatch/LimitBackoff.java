package org.cornelway.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Chooses when callers come back that were refused because all servers are at their limits.
 *
 * <p>Meant for many times as many callers as the servers take: the callers refused during the last
 * second are spread over the time that the servers need for them at their rate, so that they do not
 * come back together. Not thread-safe.
 */
public final class LimitBackoff {
    private static final long MIN_MILLIS = 300;
    private static final long MAX_MILLIS = 10_000;
    private static final long PERIOD_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Limit on the number of refusals that are counted. */
    private static final int MAX_REFUSALS = 1_000;

    private final Deque<Long> mRefusedMillis = new ArrayDeque<>();

    /**
     * Records a refusal and returns the delay after which its caller comes back.
     *
     * @param callsPerSecond rate that the servers take from all entries together
     * @param entryCount number of entries, each of which refuses about as many callers
     * @param hash spreads the callers
     */
    public long refuse(double callsPerSecond, int entryCount, int hash, long nowMillis) {
        mRefusedMillis.removeIf(millis -> nowMillis - millis > PERIOD_MILLIS);
        if (mRefusedMillis.size() < MAX_REFUSALS) {
            mRefusedMillis.addLast(nowMillis);
        }
        double rate = Math.max(callsPerSecond, PermitLedger.MIN_CALLS_PER_SECOND);
        double spread = MILLIS_PER_SECOND * mRefusedMillis.size() * entryCount / rate;
        long spreadMillis = (long) Math.min(spread, MAX_MILLIS - MIN_MILLIS);
        return MIN_MILLIS + Math.floorMod(hash, Math.max(1, spreadMillis));
    }
}

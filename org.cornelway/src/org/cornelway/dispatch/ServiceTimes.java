package org.cornelway.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Times from the send of recent calls to their answers, by route; for a stream, to its first event.
 * Confined to the traffic thread.
 */
public final class ServiceTimes {
    /** Number of calls of a route that are kept. */
    private static final int KEPT = 64;

    /** Number of calls from which a percentile is known. */
    private static final int MIN_CALLS = 20;

    /** Number of calls after which the percentile is computed again. */
    private static final int CALLS_PER_UPDATE = 8;

    private static final double PERCENTILE = 0.95;

    private final Map<String, Route> mRoutes = new HashMap<>();

    /** The last calls of one route. */
    private static final class Route {
        private final long[] mMillis = new long[KEPT];
        private long mCount;
        private long mUpdatedCount;
        private long mPercentile;

        private void record(long millis) {
            mMillis[(int) (mCount % KEPT)] = millis;
            mCount++;
        }

        private OptionalLong percentile() {
            if (mCount < MIN_CALLS) {
                return OptionalLong.empty();
            }
            if (mUpdatedCount == 0 || mCount - mUpdatedCount >= CALLS_PER_UPDATE) {
                long[] sorted = Arrays.copyOf(mMillis, (int) Math.min(KEPT, mCount));
                Arrays.sort(sorted);
                mPercentile = sorted[(int) (PERCENTILE * (sorted.length - 1))];
                mUpdatedCount = mCount;
            }
            return OptionalLong.of(mPercentile);
        }
    }

    /** Records the time that a call took. */
    public void record(String route, long millis) {
        mRoutes.computeIfAbsent(route, key -> new Route()).record(millis);
    }

    /** Returns the 95th percentile of recent calls of a route; empty if there are too few. */
    public OptionalLong percentile95(String route) {
        Route times = mRoutes.get(route);
        return times == null ? OptionalLong.empty() : times.percentile();
    }
}

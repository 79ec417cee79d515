package org.cornelway.dispatch;

import java.util.List;

/**
 * Estimates how many requests of other entries each server has, from counts of all its requests
 * that were made at different times.
 *
 * <p>Requests of this process that were sent since a count are not hidden by it, and a server
 * without a recent count is neither preferred to the others nor avoided: the older a count is, the
 * closer the estimate comes to the mean of the servers. Stateless.
 */
final class OtherRequests {
    /** Age at which the count of a plain server says nothing; its calls are short. */
    private static final long PLAIN_HORIZON_MILLIS = 400;

    /** Age at which the count of an engine says nothing; its streams take seconds. */
    private static final long ENGINE_HORIZON_MILLIS = 2_000;

    /**
     * Part of the comparable requests that is derived from own calls alone. If entries compared
     * servers by all requests, those with the same counts would all correct the same difference at
     * once, each in full, and overload the servers that had the fewest.
     */
    private static final double OWN_PART = 0.5;

    private OtherRequests() {}

    /** The last count of one server's requests. Confined to the traffic thread. */
    static final class Count {
        private int mOthers;

        /** Half the minimum while there is no count, so that its age can't overflow. */
        private long mMillis = Long.MIN_VALUE / 2;

        /**
         * Records a count of all requests, unless a newer one is known.
         *
         * @param ownRequests requests of this process among them
         * @param countedMillis when they were counted
         */
        void record(int requests, int ownRequests, long countedMillis) {
            if (countedMillis >= mMillis) {
                mOthers = Math.max(0, requests - ownRequests);
                mMillis = countedMillis;
            }
        }

        private double weight(long horizonMillis, long now) {
            return Math.max(0, 1 - (now - mMillis) / (double) horizonMillis);
        }
    }

    /** Returns the age at which a count says nothing. */
    static long horizonMillis(boolean isEngine) {
        return isEngine ? ENGINE_HORIZON_MILLIS : PLAIN_HORIZON_MILLIS;
    }

    /**
     * Returns the requests of a server for comparisons with other servers: partly as estimated,
     * partly as if the calls of the other entries were spread like those of this process, which are
     * known without delay.
     *
     * @param entries number of entries
     */
    static double comparable(int ownRequests, int otherRequests, int entries) {
        return ownRequests * (1 + OWN_PART * (entries - 1)) + (1 - OWN_PART) * otherRequests;
    }

    /** Returns the estimated requests of other entries for each of the counted servers. */
    static int[] estimate(List<Count> counts, long horizonMillis, long now) {
        double sum = 0;
        double weights = 0;
        for (Count count : counts) {
            double weight = count.weight(horizonMillis, now);
            sum += weight * count.mOthers;
            weights += weight;
        }
        double mean = weights > 0 ? sum / weights : 0;
        int[] others = new int[counts.size()];
        for (int i = 0; i < others.length; i++) {
            Count count = counts.get(i);
            double weight = count.weight(horizonMillis, now);
            others[i] = (int) Math.round(mean + weight * (count.mOthers - mean));
        }
        return others;
    }
}

package org.cornelway.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/**
 * Tells which servers are slow against the other servers of their service. This is the one
 * definition of a slow server, for the choice of servers and for hedges; it answers servers that
 * are slower than usual for some hundred milliseconds at a time.
 *
 * <p>The slowness of a server is the time that it takes per unit of work, as a multiple of the mean
 * of all servers for work of that kind. It is the weighted mean of what calls of this process have
 * measured, with weights that decay within a few hundred milliseconds, of the slowness that the
 * server reports, while the report is fresh, and of 1, so that single measurements and old evidence
 * mean little. A server is slow while its slowness is a multiple of the median of its service, and
 * normal again after a few good responses or without evidence. If all are slow, none is.
 *
 * <p>Confined to the traffic thread, except {@link #slowCount}.
 */
public final class SlowServers {
    /** Time in which the weight of a measurement decays to 1/e. */
    private static final double DECAY_MILLIS = 150;

    /** Multiple of the median from which a server is slow. */
    private static final double SLOW_FACTOR = 1.6;

    /** Multiple of the median below which a slow server is normal again. */
    private static final double NORMAL_FACTOR = 1.3;

    /** Weight of the time of a plain call. */
    static final double CALL_WEIGHT = 1;

    /** Weight of the time between two events of a stream, of which there are many. */
    static final double EVENT_WEIGHT = 0.25;

    /** Weight of a report that has just arrived. */
    private static final double REPORT_WEIGHT = 3;

    /** Age at which a report has no weight left. */
    private static final double MAX_REPORT_AGE_MILLIS = 500;

    /** Weight of the assumption that a server is as fast as usual. */
    private static final double USUAL_WEIGHT = 1;

    /** A measurement counts as at most this multiple of the mean: one stream may be preempted. */
    private static final double MAX_MEASURED_SLOWNESS = 6;

    /** Weight of the newest measurement in the mean for its kind of work, per unit of weight. */
    private static final double NEWEST_WEIGHT = 0.005;

    /** Time between two comparisons of the servers. */
    private static final long COMPARISON_MILLIS = 25;

    private final Listener mListener;
    private final Map<ServerIncarnation, State> mStates = new HashMap<>();
    private final Map<String, Usual> mUsual = new HashMap<>();
    private long mComparedMillis = Long.MIN_VALUE / 2;
    private volatile int mSlowCount;

    /** Is told when servers become slow or normal. */
    public interface Listener {
        /**
         * Called when a server has become slow.
         *
         * @param factor its slowness as a multiple of that of its peers
         */
        void onSlow(ServerIncarnation server, double factor);

        /** Called when a slow server counts as normal again. */
        void onNormal(ServerIncarnation server);
    }

    /** Evidence on one server. */
    private static final class State {
        private final String mService;
        private double mWeight;
        private double mWeightedSlowness;
        private long mDecayedMillis;
        private double mReported = 1;
        private long mReportedMillis = Long.MIN_VALUE / 2;
        private double mFactor = 1;
        private boolean mSlow;

        private State(String service) {
            mService = service;
        }

        private void decay(long now) {
            if (now > mDecayedMillis) {
                double kept = Math.exp((mDecayedMillis - now) / DECAY_MILLIS);
                mWeight *= kept;
                mWeightedSlowness *= kept;
                mDecayedMillis = now;
            }
        }

        private double slowness(long now) {
            decay(now);
            double age = now - mReportedMillis;
            double reportWeight = REPORT_WEIGHT * Math.max(0, 1 - age / MAX_REPORT_AGE_MILLIS);
            return (mWeightedSlowness + reportWeight * mReported + USUAL_WEIGHT)
                    / (mWeight + reportWeight + USUAL_WEIGHT);
        }
    }

    /** Mean time of one unit of work of one kind. */
    private static final class Usual {
        private double mMillis;
        private long mCount;

        private void record(double millis, double weight) {
            mCount++;
            mMillis += Math.max(NEWEST_WEIGHT * weight, 1.0 / mCount) * (millis - mMillis);
        }
    }

    /**
     * @param listener is told which servers become slow or normal
     */
    public SlowServers(Listener listener) {
        mListener = listener;
    }

    /** Adds a server to the peers of its service. */
    void add(ServerIncarnation server, String service) {
        mStates.computeIfAbsent(server, key -> new State(service));
    }

    /**
     * Records the time that a server has taken for some work.
     *
     * @param kind kind of the work; the same work takes all servers as long
     * @param millis time for all units together
     * @param units number of units
     * @param unitWeight weight of one unit
     */
    void recordWork(
            ServerIncarnation server,
            String service,
            String kind,
            long millis,
            int units,
            double unitWeight,
            long now) {
        double perUnit = Math.max(0, millis) / (double) units;
        Usual usual = mUsual.computeIfAbsent(kind, key -> new Usual());
        usual.record(perUnit, unitWeight * units);
        State state = mStates.computeIfAbsent(server, key -> new State(service));
        state.decay(now);
        double slowness =
                usual.mMillis > 0 ? Math.min(MAX_MEASURED_SLOWNESS, perUnit / usual.mMillis) : 1;
        state.mWeight += unitWeight * units;
        state.mWeightedSlowness += unitWeight * units * slowness;
    }

    /** Records the slowness that a server reports. */
    void recordReport(ServerIncarnation server, String service, double slowness, long now) {
        State state = mStates.computeIfAbsent(server, key -> new State(service));
        state.mReported = slowness;
        state.mReportedMillis = now;
    }

    /** Compares the servers of each service, unless that was done just before. */
    void compare(long now) {
        if (now - mComparedMillis < COMPARISON_MILLIS) {
            return;
        }
        mComparedMillis = now;
        Map<String, double[]> byService = new HashMap<>();
        mStates.forEach(
                (server, state) -> {
                    state.mFactor = state.slowness(now);
                    byService.merge(
                            state.mService, new double[] {state.mFactor}, SlowServers::joined);
                });
        byService.values().forEach(Arrays::sort);
        mStates.forEach((server, state) -> judge(server, state, byService.get(state.mService)));
    }

    private static double[] joined(double[] all, double[] one) {
        double[] joined = Arrays.copyOf(all, all.length + 1);
        joined[all.length] = one[0];
        return joined;
    }

    private void judge(ServerIncarnation server, State state, double[] sorted) {
        // Of two servers the slower one is slow, so that the lower one of two medians counts.
        state.mFactor /= sorted[(sorted.length - 1) / 2];
        boolean slow = state.mFactor >= (state.mSlow ? NORMAL_FACTOR : SLOW_FACTOR);
        if (slow != state.mSlow) {
            state.mSlow = slow;
            mSlowCount += slow ? 1 : -1;
            if (slow) {
                mListener.onSlow(server, state.mFactor);
            } else {
                mListener.onNormal(server);
            }
        }
    }

    /** Whether a server was slow against its peers at the last comparison. */
    public boolean isSlow(ServerIncarnation server) {
        State state = mStates.get(server);
        return state != null && state.mSlow;
    }

    /** Returns the slowness as a multiple of that of the peers at the last comparison. */
    public double factor(ServerIncarnation server) {
        State state = mStates.get(server);
        return state == null ? 1 : state.mFactor;
    }

    /** Returns the number of slow servers. Thread-safe. */
    public int slowCount() {
        return mSlowCount;
    }

    /** Discards the evidence on all other servers. */
    void retain(Set<ServerIncarnation> servers) {
        mStates.keySet().removeIf(each -> !servers.contains(each));
        mSlowCount = (int) mStates.values().stream().filter(each -> each.mSlow).count();
    }
}

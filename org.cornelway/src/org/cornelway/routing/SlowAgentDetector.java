package org.cornelway.routing;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.time.Clock;

/**
 * Detects agents with a slow backend server by the time between the chunks of their responses.
 *
 * <p>An agent is slow while its average time between chunks is several times the median of all
 * agents. Once per probe interval this class allows one request to a slow agent, so that its
 * recovery is noticed; it sends no requests itself. Thread-safe.
 */
public final class SlowAgentDetector {
    /** Weight of the newest gap in an agent's average. */
    private static final double NEWEST_GAP_WEIGHT = 0.3;

    /** Multiple of the median at which an agent is slow. */
    private static final double SLOW_FACTOR = 3;

    /** Average gap below which an agent is never slow. */
    private static final long MIN_SLOW_GAP_MILLIS = 20;

    /** Minimum number of agents with a recorded gap; with fewer, no agent is slow. */
    private static final int MIN_AGENTS = 3;

    /** Time between probes of a slow agent. */
    private static final long PROBE_INTERVAL_MILLIS = 30_000;

    /** Age at which the median of the agents' averages is recomputed. */
    private static final long MAX_MEDIAN_AGE_MILLIS = 200;

    private final Clock mClock;
    private final Map<String, Double> mAverageGapMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> mNextProbeMillis = new ConcurrentHashMap<>();
    private volatile double mMedianGapMillis;
    private volatile long mMedianComputedMillis;

    /**
     * @param clock clock for the probe interval and the age of the median
     */
    public SlowAgentDetector(Clock clock) {
        mClock = clock;
    }

    /** Records the time between two consecutive chunks of a response. */
    public void recordChunkGap(String agent, long gapMillis) {
        mAverageGapMillis.merge(
                agent, (double) gapMillis, (old, gap) -> old + NEWEST_GAP_WEIGHT * (gap - old));
    }

    /**
     * Whether requests should avoid an agent because it is slow. Returns false once per probe
     * interval for a slow agent, so that the caller may send it one request as a probe; that call
     * starts the next interval.
     */
    public boolean avoidUnlessProbeDue(String agent) {
        Double averageGapMillis = mAverageGapMillis.get(agent);
        if (averageGapMillis == null
                || averageGapMillis < MIN_SLOW_GAP_MILLIS
                || averageGapMillis < SLOW_FACTOR * medianGapMillis()) {
            mNextProbeMillis.remove(agent);
            return false;
        }
        long now = mClock.nowMillis();
        long nextProbeMillis =
                mNextProbeMillis.computeIfAbsent(agent, id -> now + PROBE_INTERVAL_MILLIS);
        boolean isProbeDue = now >= nextProbeMillis;
        if (isProbeDue) {
            mNextProbeMillis.put(agent, now + PROBE_INTERVAL_MILLIS);
        }
        return !isProbeDue;
    }

    /** Returns the median of the agents' averages; recomputes it if it is too old. */
    private double medianGapMillis() {
        long now = mClock.nowMillis();
        if (now - mMedianComputedMillis >= MAX_MEDIAN_AGE_MILLIS) {
            mMedianComputedMillis = now;
            List<Double> sorted = mAverageGapMillis.values().stream().sorted().toList();
            boolean tooFew = sorted.size() < MIN_AGENTS;
            // With too few agents to compare, the median is set so high that no agent is slow. The
            // division keeps its product with SLOW_FACTOR from overflowing.
            mMedianGapMillis =
                    tooFew ? Double.MAX_VALUE / SLOW_FACTOR : sorted.get(sorted.size() / 2);
        }
        return mMedianGapMillis;
    }

    /**
     * Removes agents that are no longer members.
     *
     * @param members the current members by instance id
     */
    public void retain(Map<String, ?> members) {
        mAverageGapMillis.keySet().retainAll(members.keySet());
        mNextProbeMillis.keySet().retainAll(members.keySet());
    }
}

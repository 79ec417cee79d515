package org.cornelway.routing;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.time.Clock;

/**
 * Finds slow backend servers by the time between the chunks of their answers.
 *
 * <p>An agent is slow while its time is several times the median of all agents. A slow agent is let
 * through once in a while, so that the end of a slow spell is noticed. Thread-safe.
 */
public final class SlowAgentDetector {
    private static final double NEWEST_WEIGHT = 0.3;
    private static final double SLOW_FACTOR = 3;
    private static final long LEAST_SLOW_MILLIS = 20;
    private static final int LEAST_AGENTS = 3;
    private static final long PROBE_MILLIS = 30_000;
    private static final long MEDIAN_MILLIS = 200;

    private final Clock mClock;
    private final Map<String, Double> mChunkMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> mNextProbeMillis = new ConcurrentHashMap<>();
    private volatile double mMedian;
    private volatile long mMedianAtMillis;

    /**
     * @param clock says when a slow agent may be looked at again
     */
    public SlowAgentDetector(Clock clock) {
        mClock = clock;
    }

    /** Notes the time between two chunks of one answer. */
    public void recordChunkGap(String agent, long gapMillis) {
        mChunkMillis.merge(
                agent, (double) gapMillis, (old, gap) -> old + NEWEST_WEIGHT * (gap - old));
    }

    /** Whether an agent is slow and need not be looked at now. */
    public boolean isSlow(String agent) {
        Double millis = mChunkMillis.get(agent);
        if (millis == null || millis < LEAST_SLOW_MILLIS || millis < SLOW_FACTOR * median()) {
            mNextProbeMillis.remove(agent);
            return false;
        }
        long now = mClock.nowMillis();
        long next = mNextProbeMillis.computeIfAbsent(agent, id -> now + PROBE_MILLIS);
        boolean probe = now >= next;
        if (probe) {
            mNextProbeMillis.put(agent, now + PROBE_MILLIS);
        }
        return !probe;
    }

    private double median() {
        long now = mClock.nowMillis();
        if (now - mMedianAtMillis >= MEDIAN_MILLIS) {
            mMedianAtMillis = now;
            List<Double> sorted = mChunkMillis.values().stream().sorted().toList();
            boolean few = sorted.size() < LEAST_AGENTS;
            mMedian = few ? Double.MAX_VALUE / SLOW_FACTOR : sorted.get(sorted.size() / 2);
        }
        return mMedian;
    }

    /** Forgets agents that are no members any more. */
    public void retain(Map<String, ?> members) {
        mChunkMillis.keySet().retainAll(members.keySet());
        mNextProbeMillis.keySet().retainAll(members.keySet());
    }
}

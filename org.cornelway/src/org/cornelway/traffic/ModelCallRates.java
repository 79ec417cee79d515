package org.cornelway.traffic;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.time.Clock;

/**
 * Estimates the call rate of each model from a count of its calls that decays exponentially.
 *
 * <p>Confined to the traffic thread.
 */
final class ModelCallRates {
    /** Half-life of the weight of a call; demand changes every few seconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** Call rate below which a model is no longer tracked. */
    private static final double MIN_CALLS_PER_SECOND = 0.02;

    /** Shortest time span that a rate is computed over; it applies just after the first call. */
    private static final double MIN_SPAN_MILLIS = 500;

    private static final double SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final Map<String, DecayingCount> mCounts = new HashMap<>();

    /** When this process recorded its first call; negative if there was none. */
    private long mFirstCallMillis = -1;

    /** Exponentially decayed number of calls to one model, and their shortest latency objective. */
    private static final class DecayingCount {
        private double mCalls;
        private long mUpdatedMillis;
        private long mObjectiveMillis = Long.MAX_VALUE;
    }

    ModelCallRates(Clock clock) {
        mClock = clock;
    }

    /**
     * Records a call.
     *
     * @param objectiveMillis latency objective of the call's route
     */
    void recordCall(String model, long objectiveMillis) {
        long now = mClock.nowMillis();
        mFirstCallMillis = mFirstCallMillis < 0 ? now : mFirstCallMillis;
        DecayingCount count = mCounts.computeIfAbsent(model, key -> new DecayingCount());
        count.mCalls = decayedCalls(count, now) + 1;
        count.mUpdatedMillis = now;
        count.mObjectiveMillis = Math.min(count.mObjectiveMillis, objectiveMillis);
    }

    private static double decayedCalls(DecayingCount count, long nowMillis) {
        return count.mCalls * Math.pow(0.5, (nowMillis - count.mUpdatedMillis) / HALF_LIFE_MILLIS);
    }

    /**
     * Returns the rate of each model that has recent calls. The rates are corrected for the short
     * history of a process that has just started, which would otherwise make them too low.
     */
    Map<String, ModelRate> current() {
        long now = mClock.nowMillis();
        double spanMillis = Math.max(MIN_SPAN_MILLIS, now - mFirstCallMillis);
        double observedShare = 1 - Math.pow(0.5, spanMillis / HALF_LIFE_MILLIS);
        Map<String, ModelRate> rates = new HashMap<>();
        mCounts.forEach(
                (model, count) -> {
                    // At a constant rate, the decayed count is rate * half-life / ln 2.
                    double ratePerCall = Math.log(2) * SECOND_MILLIS / HALF_LIFE_MILLIS;
                    double rate = decayedCalls(count, now) * ratePerCall / observedShare;
                    rates.put(model, new ModelRate(rate, count.mObjectiveMillis));
                });
        rates.values().removeIf(rate -> rate.callsPerSecond() < MIN_CALLS_PER_SECOND);
        mCounts.keySet().retainAll(rates.keySet());
        return rates;
    }
}

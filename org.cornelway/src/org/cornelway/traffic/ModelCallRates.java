package org.cornelway.traffic;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.time.Clock;

/**
 * How often callers ask for each model, with older calls counting less and less.
 *
 * <p>Confined to the traffic thread.
 */
final class ModelCallRates {
    /** Time over which an older call's weight halves; demand moves on every few seconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** A model with fewer calls a second is forgotten. */
    private static final double LEAST_RATE = 0.02;

    /** Shortest time that rates are taken over, just after the first call. */
    private static final double LEAST_SPAN_MILLIS = 500;

    private static final double SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final Map<String, Weight> mWeights = new HashMap<>();
    private long mFirstMillis = -1;

    /** Calls with exponentially decaying weight. */
    private static final class Weight {
        private double mCalls;
        private long mMillis;
        private long mObjectiveMillis = Long.MAX_VALUE;
    }

    ModelCallRates(Clock clock) {
        mClock = clock;
    }

    /** Notes a call. */
    void recordCall(String model, long objectiveMillis) {
        long now = mClock.nowMillis();
        mFirstMillis = mFirstMillis < 0 ? now : mFirstMillis;
        Weight weight = mWeights.computeIfAbsent(model, key -> new Weight());
        weight.mCalls = decayed(weight, now) + 1;
        weight.mMillis = now;
        weight.mObjectiveMillis = Math.min(weight.mObjectiveMillis, objectiveMillis);
    }

    private static double decayed(Weight weight, long nowMillis) {
        return weight.mCalls * Math.pow(0.5, (nowMillis - weight.mMillis) / HALF_LIFE_MILLIS);
    }

    /** Calls a second by model; a process that has just started does not take them for fewer. */
    Map<String, ModelRate> current() {
        long now = mClock.nowMillis();
        double span = Math.max(LEAST_SPAN_MILLIS, now - mFirstMillis);
        double seen = 1 - Math.pow(0.5, span / HALF_LIFE_MILLIS);
        Map<String, ModelRate> rates = new HashMap<>();
        mWeights.forEach(
                (model, weight) -> {
                    double each = Math.log(2) * SECOND_MILLIS / HALF_LIFE_MILLIS;
                    double rate = decayed(weight, now) * each / seen;
                    rates.put(model, new ModelRate(rate, weight.mObjectiveMillis));
                });
        rates.values().removeIf(rate -> rate.callsPerSecond() < LEAST_RATE);
        mWeights.keySet().retainAll(rates.keySet());
        return rates;
    }
}

package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelway.traffic.ModelRate;

/**
 * The demand for each model over the last minute, which the rates of the last seconds do not show.
 *
 * <p>A model that is called every few seconds has a rate near zero just before most of its calls,
 * and a model whose popularity comes and goes has none in between. Confined to the control thread.
 */
final class DemandHistory {
    /** Half-life of the average rates; covers several calls of a rarely called model. */
    private static final double AVERAGE_HALF_LIFE_MILLIS = 20_000;

    /** Time for which a popular model keeps its replicas after its demand has moved away. */
    private static final long RETENTION_MILLIS = 60_000;

    /** Rate from which a model counts as popular. */
    private static final double POPULAR_CALLS_PER_SECOND = 5;

    /** Half-life of the rate that is assumed of a model without a known call. */
    private static final double UNKNOWN_HALF_LIFE_MILLIS = 60_000;

    /** Weight of the mean rate beside a model's own; rarely called models have a call in it. */
    private static final double PRIOR_MILLIS = 10_000;

    private final DeferralPolicy mPolicy;
    private final Set<String> mDeferrable = new HashSet<>();
    private double mCallsPerSecond;
    private double mDeferrableCallsPerSecond;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private long mShortestObjectiveMillis = ModelRate.NONE.objectiveMillis();
    private long mFirstMillis = -1;
    private long mUpdatedMillis;

    private static final class Entry {
        private double mWeightedRate;
        private long mObjectiveMillis = Long.MAX_VALUE;
        private long mPopularUntilMillis;
        private int mPopularReplicas;

        private void recordPopular(int replicas, long nowMillis) {
            boolean isPopular = nowMillis < mPopularUntilMillis;
            mPopularReplicas = isPopular ? Math.max(mPopularReplicas, replicas) : replicas;
            mPopularUntilMillis = nowMillis + RETENTION_MILLIS;
        }
    }

    DemandHistory(DeferralPolicy policy) {
        mPolicy = policy;
    }

    /** Computes the number of replicas that a model needs at present. */
    interface ReplicaCount {
        int needed(String model);
    }

    /** Records the present rates. Called a few times a second. */
    void update(Map<String, ModelRate> rates, ReplicaCount replicas, long nowMillis) {
        if (mFirstMillis < 0 && rates.isEmpty()) {
            return;
        }
        if (mFirstMillis < 0) {
            mFirstMillis = nowMillis;
            mUpdatedMillis = nowMillis - 1;
        }
        double keep = Math.pow(0.5, (nowMillis - mUpdatedMillis) / AVERAGE_HALF_LIFE_MILLIS);
        mUpdatedMillis = nowMillis;
        mEntries.values().forEach(entry -> entry.mWeightedRate *= keep);
        rates.forEach(
                (model, rate) -> {
                    Entry entry = mEntries.computeIfAbsent(model, key -> new Entry());
                    entry.mWeightedRate += (1 - keep) * rate.callsPerSecond();
                    entry.mObjectiveMillis = rate.objectiveMillis();
                    mShortestObjectiveMillis =
                            Math.min(mShortestObjectiveMillis, rate.objectiveMillis());
                    if (rate.callsPerSecond() >= POPULAR_CALLS_PER_SECOND) {
                        entry.recordPopular(replicas.needed(model), nowMillis);
                    }
                });
        mDeferrable.clear();
        mEntries.forEach(
                (model, entry) -> {
                    if (mPolicy.isDeferrable(entry.mObjectiveMillis)) {
                        mDeferrable.add(model);
                    }
                });
        mCallsPerSecond = mEntries.keySet().stream().mapToDouble(this::callsPerSecond).sum();
        mDeferrableCallsPerSecond = mDeferrable.stream().mapToDouble(this::callsPerSecond).sum();
    }

    /** Forgets the demand of earlier terms. */
    void clear() {
        mEntries.clear();
        mDeferrable.clear();
        mFirstMillis = -1;
    }

    /**
     * Returns the rate to expect of a model: the larger of the present and the average one. A model
     * without a known call is assumed to be called as often as others on average, with the shortest
     * objective, since it may be one whose popularity comes and goes; the longer it gets no call,
     * the less.
     */
    ModelRate expected(String model, int models, ModelRate present) {
        if (isDeferrable(model)) {
            return new ModelRate(deferrableRate(model, models), objectiveMillis(model));
        }
        if (mEntries.containsKey(model)) {
            return new ModelRate(
                    Math.max(present.callsPerSecond(), callsPerSecond(model)),
                    objectiveMillis(model));
        }
        double share = Math.pow(0.5, (mUpdatedMillis - mFirstMillis) / UNKNOWN_HALF_LIFE_MILLIS);
        return new ModelRate(
                share * mCallsPerSecond / Math.max(1, models), mShortestObjectiveMillis);
    }

    /**
     * Returns the average rate of a model whose calls may wait, drawn towards the mean of such
     * models while there are few observations: one call in the first second says little.
     */
    private double deferrableRate(String model, int models) {
        double spanMillis = Math.min(mUpdatedMillis - mFirstMillis, AVERAGE_HALF_LIFE_MILLIS);
        long others = mEntries.size() - mDeferrable.size();
        double mean = mDeferrableCallsPerSecond / Math.max(1, models - others);
        return (spanMillis * callsPerSecond(model) + PRIOR_MILLIS * mean)
                / (spanMillis + PRIOR_MILLIS);
    }

    /** Whether the calls to any model may wait. */
    boolean hasDeferrable() {
        return !mDeferrable.isEmpty();
    }

    /** Whether the calls to a model may wait, as far as the objective of its calls is known. */
    boolean isDeferrable(String model) {
        return mDeferrable.contains(model);
    }

    /** Returns the average rate of a model, corrected for a short history. */
    double callsPerSecond(String model) {
        Entry entry = mEntries.get(model);
        if (entry == null) {
            return 0;
        }
        double spanMillis = Math.max(1, mUpdatedMillis - mFirstMillis);
        return entry.mWeightedRate / (1 - Math.pow(0.5, spanMillis / AVERAGE_HALF_LIFE_MILLIS));
    }

    /** Returns the last known objective of a model's calls, the maximum of a long if unknown. */
    long objectiveMillis(String model) {
        Entry entry = mEntries.get(model);
        return entry == null ? Long.MAX_VALUE : entry.mObjectiveMillis;
    }

    /** Returns the number of replicas that a model keeps because it was popular recently. */
    int retainedReplicas(String model, long nowMillis) {
        Entry entry = mEntries.get(model);
        return entry == null || nowMillis >= entry.mPopularUntilMillis ? 0 : entry.mPopularReplicas;
    }
}

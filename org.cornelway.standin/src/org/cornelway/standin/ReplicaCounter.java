package org.cornelway.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the replicas of each model that are loading or loaded, over all engines: the current
 * number and the peak.
 *
 * <p>Confined to one event loop.
 */
public final class ReplicaCounter {
    private final Map<String, Integer> mCurrent = new HashMap<>();
    private final Map<String, Integer> mPeak = new TreeMap<>();
    private int mOvercommits;

    /** Adds a replica to the counts; called when an engine begins to load it. */
    public void add(String model) {
        int current = mCurrent.merge(model, 1, Integer::sum);
        mPeak.merge(model, current, Math::max);
    }

    /** Removes a replica from the current count; called when an engine has unloaded it. */
    public void remove(String model) {
        mCurrent.merge(model, -1, Integer::sum);
    }

    /** Counts a load that exceeded the engine's memory. */
    public void countOvercommit() {
        mOvercommits++;
    }

    /** Returns a snapshot of the counts. */
    public Report report() {
        return new Report(new TreeMap<>(mPeak), new TreeMap<>(mCurrent), mOvercommits);
    }

    /**
     * A snapshot of the counts. Immutable by convention.
     *
     * @param most maximum number of simultaneous replicas, by model
     * @param now current number of replicas, by model
     * @param overcommits number of loads that exceeded the memory of their engine
     */
    public record Report(Map<String, Integer> most, Map<String, Integer> now, int overcommits) {}
}

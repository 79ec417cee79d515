package org.cornelway.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts, across all engines, how many replicas of each model hold memory, and the most there were.
 *
 * <p>Confined to one event loop.
 */
public final class ReplicaCounter {
    private final Map<String, Integer> mNow = new HashMap<>();
    private final Map<String, Integer> mMost = new TreeMap<>();
    private int mOvercommits;

    /** Notes that an engine began to hold a model. */
    public void add(String model) {
        int now = mNow.merge(model, 1, Integer::sum);
        mMost.merge(model, now, Math::max);
    }

    /** Notes that an engine holds a model no more. */
    public void remove(String model) {
        mNow.merge(model, -1, Integer::sum);
    }

    /** Notes that an engine was told to hold more than its memory. */
    public void countOvercommit() {
        mOvercommits++;
    }

    /** What the census found. */
    public Report report() {
        return new Report(new TreeMap<>(mMost), new TreeMap<>(mNow), mOvercommits);
    }

    /**
     * What a census found. Immutable by convention.
     *
     * @param most most replicas of each model at one time
     * @param now replicas now
     * @param overcommits loads that did not fit
     */
    public record Report(Map<String, Integer> most, Map<String, Integer> now, int overcommits) {}
}

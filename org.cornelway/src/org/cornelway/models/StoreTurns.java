package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Orders the models that only the checkpoint store has, and estimates when each will be loaded.
 *
 * <p>Meant for fleets in which many rarely called models have no copy on any engine while the store
 * loads a model only every few seconds. The loads go to the models with the most calls to gain: the
 * calls that wait and will still be there, plus those expected over {@link #HORIZON_SECONDS}.
 * Immutable; computed once a round, in time n log n of the models.
 */
final class StoreTurns {
    /** Period after a load over which the calls to the model count; demand may change later. */
    private static final double HORIZON_SECONDS = 30;

    private final List<String> mOrder;
    private final Map<String, Long> mEndMillis;

    /**
     * A model that only the store has. Immutable.
     *
     * @param callsPerSecond average rate of its calls
     * @param waitingCalls calls that wait for it
     * @param priority priority of the most urgent of these; lowest priority if there are none
     * @param loadMillis duration of its load
     */
    record Candidate(
            String model, double callsPerSecond, int waitingCalls, int priority, long loadMillis) {
        private double gainedCalls() {
            return waitingCalls + callsPerSecond * HORIZON_SECONDS;
        }

        /** Calls gained for each second of the store's time. */
        private double gainPerSecond() {
            return gainedCalls() / Math.max(1, loadMillis);
        }
    }

    /**
     * @param admitted models that come first, in this order, since calls were let wait for them
     * @param runningEndMillis expected ends of the loads that read the store
     * @param maxLoads number of loads that the store serves at once
     */
    StoreTurns(
            List<Candidate> candidates,
            List<String> admitted,
            List<Long> runningEndMillis,
            int maxLoads,
            long nowMillis) {
        List<Candidate> ordered = new ArrayList<>(candidates);
        ordered.sort(
                Comparator.comparingInt((Candidate each) -> rank(each.model(), admitted))
                        .thenComparingDouble(each -> -each.gainPerSecond())
                        .thenComparingInt(Candidate::priority)
                        .thenComparing(Candidate::model));
        mOrder = ordered.stream().map(Candidate::model).toList();
        mEndMillis = new HashMap<>();
        PriorityQueue<Long> ends = new PriorityQueue<>();
        runningEndMillis.forEach(end -> ends.add(Math.max(end, nowMillis)));
        while (ends.size() < maxLoads) {
            ends.add(nowMillis);
        }
        // More loads than the limit may be running since the limit fell; the first to end are not
        // replaced.
        while (ends.size() > maxLoads) {
            ends.poll();
        }
        for (Candidate candidate : ordered) {
            long end = ends.poll() + candidate.loadMillis();
            ends.add(end);
            mEndMillis.put(candidate.model(), end);
        }
    }

    private static int rank(String model, List<String> admitted) {
        int index = admitted.indexOf(model);
        return index < 0 ? Integer.MAX_VALUE : index;
    }

    /** Returns the models in the order in which they are loaded. */
    List<String> order() {
        return mOrder;
    }

    /** Whether a model is one of those that only the store has. */
    boolean contains(String model) {
        return mEndMillis.containsKey(model);
    }

    /** Returns when the load of a model is expected to end, in milliseconds since the epoch. */
    long endMillis(String model) {
        return mEndMillis.get(model);
    }
}

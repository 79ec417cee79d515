package org.cornelway.models;

import org.cornelway.traffic.ModelRate;

/**
 * A model on one engine as seen by the load planner. Immutable.
 *
 * @param megabytes memory taken by the model and its adapters
 * @param active number of active calls to it on this engine
 * @param remainingMillis time until those calls are expected to end; 0 if there are none
 * @param rate call rate and latency objective of the model
 * @param replicas number of engines that hold or load it
 * @param neededReplicas number of engines that its calls need
 * @param pinned whether it must not be evicted: calls wait for it, a request was recently answered
 *     with this engine, or the planned load does not justify it
 * @param reloadMillis time to load it on this engine again
 */
public record ModelView(
        double megabytes,
        int active,
        long remainingMillis,
        ModelRate rate,
        int replicas,
        int neededReplicas,
        boolean pinned,
        long reloadMillis) {
    /** Returns this view with the model pinned. */
    ModelView asPinned() {
        return new ModelView(
                megabytes,
                active,
                remainingMillis,
                rate,
                replicas,
                neededReplicas,
                true,
                reloadMillis);
    }
}

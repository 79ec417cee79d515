package org.cornelway.models;

import org.cornelway.traffic.ModelRate;

/**
 * A model on one engine, as the planner sees it. Immutable.
 *
 * @param megabytes memory that it takes, adapters included
 * @param active calls under way with it on this engine
 * @param remainingMillis time until those calls are expected to end; 0 if there are none
 * @param rate how callers ask for the model
 * @param replicas engines that hold it
 * @param neededReplicas engines that its calls under way need
 * @param pinned whether it must stay: somebody waits for it, or it has just come
 * @param reloadMillis time to load it again here
 */
public record ModelView(
        double megabytes,
        int active,
        long remainingMillis,
        ModelRate rate,
        int replicas,
        int neededReplicas,
        boolean pinned,
        long reloadMillis) {}

package org.cornelway.models;

import org.cornelway.route.ModelDefinition;
import org.cornelway.traffic.ModelRate;

/**
 * A model that is to be loaded, with the demand for it. Immutable.
 *
 * @param model the model to load
 * @param storeAllowed whether it may be loaded from the checkpoint store
 * @param rate call rate and latency objective of the model
 * @param waitingCalls number of calls that wait for it
 * @param waitedMillis time for which the first of these calls has waited
 */
public record LoadRequest(
        ModelDefinition model,
        boolean storeAllowed,
        ModelRate rate,
        int waitingCalls,
        long waitedMillis) {
    /**
     * Returns the loss to callers, in the unit of {@link DelayLoss}, if the model is available only
     * after the given time.
     */
    double lossUntil(long millis) {
        return waitingCalls * DelayLoss.ofWaiting(waitedMillis, millis, rate.objectiveMillis())
                + DelayLoss.ofArrivals(rate, millis);
    }
}

package org.cornelway.models;

import org.cornelway.route.ModelDefinition;
import org.cornelway.traffic.ModelRate;

/**
 * A model that is to be loaded. Immutable.
 *
 * @param storeAllowed whether it may be read from the weight store
 * @param rate how callers ask for it
 * @param waitingCalls calls that wait for it
 * @param waitedMillis time that the first of them has waited
 */
public record LoadRequest(
        ModelDefinition model,
        boolean storeAllowed,
        ModelRate rate,
        int waitingCalls,
        long waitedMillis) {
    /** What callers lose until the model is there, in calls that come late. */
    double lossUntil(long millis) {
        return waitingCalls * DelayCost.ofWaiting(waitedMillis, millis, rate.objectiveMillis())
                + DelayCost.ofArrivals(rate, millis);
    }
}

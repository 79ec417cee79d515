package org.cornelway.residency;

import java.util.List;
import org.cornelway.time.Deadline;

/**
 * The demand of the waiting requests for one model or adapter. Immutable.
 *
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 * @param deadline earliest deadline of these requests
 * @param waitingSinceMillis arrival time of the request that has waited longest
 */
public record Demand(String model, String adapter, Deadline deadline, long waitingSinceMillis) {
    /** Whether any of the demands is for the model or one of its adapters. */
    public static boolean anyFor(String model, List<Demand> demands) {
        return demands.stream().anyMatch(demand -> demand.model().equals(model));
    }
}

package org.cornelway.residency;

import java.util.List;
import org.cornelway.time.Deadline;

/**
 * Work that waits for a model. Immutable.
 *
 * @param model the model
 * @param adapter the adapter, or empty
 * @param deadline when the earliest such work must have ended
 * @param waitingSinceMillis when that work arrived
 */
public record Demand(String model, String adapter, Deadline deadline, long waitingSinceMillis) {
    /** Whether any of the demands is for a model. */
    public static boolean anyFor(String model, List<Demand> demands) {
        return demands.stream().anyMatch(demand -> demand.model().equals(model));
    }
}

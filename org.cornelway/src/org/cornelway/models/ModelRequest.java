package org.cornelway.models;

import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * One or more merged requests for a model or an adapter that calls wait for. Immutable.
 *
 * @param service service whose engines may load it
 * @param target the model or adapter
 * @param deadline latest deadline of the calls
 * @param priority priority of the most urgent call; 0 is the most urgent
 * @param firstArrivalMillis when the controller received the first request, on the control thread's
 *     clock
 * @param mergedRequests number of merged requests, used as the number of waiting calls: a request
 *     from an entry counts as one call, however many calls wait at that entry
 * @param notHeldBy an engine that has just replied that it does not hold the target, or that does
 *     not reply; empty if there is none
 * @param calls the waiting calls
 */
public record ModelRequest(
        String service,
        ModelTarget target,
        Deadline deadline,
        int priority,
        long firstArrivalMillis,
        int mergedRequests,
        Optional<ServerIncarnation> notHeldBy,
        CallGroup calls) {
    /** Returns this request without its calls, which a later one counts again. */
    ModelRequest withoutCalls() {
        return new ModelRequest(
                service,
                target,
                deadline,
                priority,
                firstArrivalMillis,
                mergedRequests,
                notHeldBy,
                calls.withoutCalls());
    }
}

package org.cornelway.models;

import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * Calls that wait for a model or an adapter. Immutable.
 *
 * @param service service whose engines may load it
 * @param target what is wanted
 * @param deadline when the last of the calls gives up
 * @param priority rank of the most urgent of them, 0 first
 * @param firstArrivalMillis when the first of them came, on the control thread's clock
 * @param waitingCalls how many there are, as far as is known
 * @param notHeldBy an engine that just said that it does not hold it, or gives no answers
 */
public record ModelRequest(
        String service,
        ModelTarget target,
        Deadline deadline,
        int priority,
        long firstArrivalMillis,
        int waitingCalls,
        Optional<ServerIncarnation> notHeldBy) {}

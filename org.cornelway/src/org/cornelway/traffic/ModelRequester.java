package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;

/**
 * Requests models and adapters for calls that no server can serve yet.
 *
 * <p>Called on the traffic thread, which also runs the callbacks.
 */
public interface ModelRequester {
    /**
     * A request to make a model available on some server of a service. Immutable.
     *
     * @param service name of the service
     * @param target the model and adapter
     * @param deadline time by which the model must be available
     * @param priority priority of the call, 0 is the most urgent
     * @param objectiveMillis latency objective of the call
     * @param objective when the objective passes
     * @param notHeldBy a server that does not serve the model although it was expected to hold it;
     *     empty if there is none
     */
    record Request(
            String service,
            ModelTarget target,
            Deadline deadline,
            int priority,
            long objectiveMillis,
            Deadline objective,
            Optional<ServerIncarnation> notHeldBy) {}

    /**
     * Requests a model. Once a server holds it, {@link CallHandler#onModelGranted} or {@link
     * CallHandler#onHoldingsChanged} is called for each waiting call.
     *
     * @param tooLate called if the model cannot be available in time, with the expected number of
     *     milliseconds until it is available
     */
    void requestModel(Request request, LongConsumer tooLate);
}

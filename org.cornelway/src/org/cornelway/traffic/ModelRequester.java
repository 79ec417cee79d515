package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;

/**
 * Gets models and adapters to where calls can use them.
 *
 * <p>Called on the traffic thread; answers there.
 */
public interface ModelRequester {
    /** A wish for a model at some server of a service. */
    record Request(
            String service,
            ModelTarget target,
            Deadline deadline,
            int priority,
            Optional<ServerIncarnation> notHeldBy) {}

    /**
     * Asks for a model. {@link Exchange#modelsChanged} is called on the waiting calls once a server
     * holds it.
     *
     * @param tooLate hears, if the model cannot be there in time, after how many milliseconds it
     *     may be
     */
    void requestModel(Request wish, LongConsumer tooLate);
}

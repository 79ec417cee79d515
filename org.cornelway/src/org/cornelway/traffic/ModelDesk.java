package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.directory.ServerLife;
import org.cornelway.time.Deadline;

/**
 * Gets models and adapters to where calls can use them.
 *
 * <p>Called on the traffic thread; answers there.
 */
public interface ModelDesk {
    /** A wish for a model at some server of a service. */
    record Wish(
            String service,
            ModelTarget target,
            Deadline deadline,
            int priority,
            Optional<ServerLife> notHeldBy) {}

    /**
     * Asks for a model. {@link Exchange#modelsChanged} is called on the waiting calls once a server
     * holds it.
     *
     * @param tooLate hears, if the model cannot be there in time, after how many milliseconds it
     *     may be
     */
    void ask(Wish wish, LongConsumer tooLate);
}

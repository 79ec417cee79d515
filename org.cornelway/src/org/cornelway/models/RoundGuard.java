package org.cornelway.models;

import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the parts of a scheduling round, so that an unexpected error of one engine or request ends
 * only its part. Stateless.
 */
final class RoundGuard {
    private static final Logger LOG = LogManager.getLogger(RoundGuard.class);

    private RoundGuard() {}

    /** Runs a part. */
    static void run(String name, Runnable part) {
        try {
            part.run();
        } catch (RuntimeException e) {
            LOG.error("{} failed in a scheduling round", name, e);
        }
    }

    /** Returns the outcome of a request; one that fails gets no model. */
    static Optional<ModelRequestOutcome> answer(
            ModelRequest request, Supplier<Optional<ModelRequestOutcome>> part) {
        try {
            return part.get();
        } catch (RuntimeException e) {
            LOG.error("the request for {} failed in a scheduling round", request.target(), e);
            return Optional.of(new ModelRequestOutcome.TooLate(0));
        }
    }
}

package org.cornelway.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server of a call. Implementations are pure and thread-safe. */
@FunctionalInterface
public interface ServerChooser {
    /**
     * Chooses a server.
     *
     * @param candidates servers that can serve the call
     * @param needs what the choice depends on besides
     * @return the chosen server, or empty if there are no candidates
     */
    Optional<Candidate> choose(List<Candidate> candidates, CallNeeds needs);
}

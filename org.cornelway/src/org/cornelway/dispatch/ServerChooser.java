package org.cornelway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses the backend server of a call. Implementations are pure and thread-safe. */
@FunctionalInterface
public interface ServerChooser {
    /**
     * Chooses a server.
     *
     * @param candidates servers that can serve the call
     * @param affinity hash of the prompt parts that other calls may share; 0 if there are none
     * @param tried ids of the servers that the call was sent to before
     * @return the chosen server, or empty if there are no candidates
     */
    Optional<Candidate> choose(List<Candidate> candidates, int affinity, Set<String> tried);
}

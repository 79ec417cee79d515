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
     * @param affinity hash of what the call shares with earlier ones; 0 for nothing
     * @param tried ids of servers that the call was sent to before
     */
    Optional<Candidate> choose(List<Candidate> candidates, int affinity, Set<String> tried);
}

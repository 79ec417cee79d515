package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;

/** Chooses the backend server for a free slot. Implementations are stateless and thread-safe. */
public interface PlacementPolicy {
    /**
     * Chooses among servers that could hold the model at all.
     *
     * @param rule the model
     * @param warm whether the replica is to be kept loaded
     * @param candidates the servers with what is bound to them so far
     * @return the chosen server, or empty if none will do
     */
    Optional<ServerAllocation> choose(
            ModelRule rule, boolean warm, List<ServerAllocation> candidates);
}

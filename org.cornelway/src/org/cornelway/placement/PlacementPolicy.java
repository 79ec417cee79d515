package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;

/**
 * Chooses the backend server to which a free slot of a model is bound. Implementations are
 * stateless and thread-safe.
 */
public interface PlacementPolicy {
    /**
     * Chooses among the servers that are able to hold the model.
     *
     * @param rule rule of the model to place
     * @param warm whether the replica is to be kept loaded
     * @param candidates the servers, each with the total sizes of the models bound to it so far
     * @return the chosen server, or empty if none is suitable
     */
    Optional<ServerAllocation> choose(
            ModelRule rule, boolean warm, List<ServerAllocation> candidates);
}

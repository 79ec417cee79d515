package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.config.Configuration;

/** Computes the next placement document. Implementations are stateless and thread-safe. */
public interface Planner {
    /**
     * Plans one step.
     *
     * @param current the document in force
     * @param configuration the configuration to carry out
     * @param servers all model servers that the platform lists, leaving ones included
     * @param releases confirmed unloads of bindings that were being released in {@code current}
     * @param holder instance id of the controller
     * @return the next document, or empty if nothing changes
     */
    Optional<PlacementDocument> plan(
            PlacementDocument current,
            Configuration configuration,
            List<ServerView> servers,
            Set<UnloadConfirmation> releases,
            String holder);
}

package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.config.Configuration;

/** Computes the next placement document. Implementations are stateless and thread-safe. */
public interface Planner {
    /**
     * Computes the document that follows the current one.
     *
     * @param current the document in force
     * @param configuration the configuration to implement
     * @param servers the backend servers that can hold models, including those that are leaving; a
     *     binding to any other server is dropped
     * @param confirmations confirmations by servers that they have unloaded models whose bindings
     *     {@code current} marks as releasing
     * @param holder instance id of the controller
     * @return the next document, or empty if nothing changes
     */
    Optional<PlacementDocument> plan(
            PlacementDocument current,
            Configuration configuration,
            List<ServerView> servers,
            Set<UnloadConfirmation> confirmations,
            String holder);
}

package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelway.config.Configuration;

/**
 * Baseline for tests: assumes that a server has released a model one planning step after it was
 * told to. This can exceed the limits on replicas if an agent is slow or partitioned.
 *
 * <p>Stateless and thread-safe.
 */
public final class UnconfirmedReleasePlanner implements Planner {
    private final Planner mDelegate;

    /**
     * @param policy chooses the server of each free slot
     */
    public UnconfirmedReleasePlanner(PlacementPolicy policy) {
        mDelegate = new PlacementPlanner(policy);
    }

    @Override
    public Optional<PlacementDocument> plan(
            PlacementDocument current,
            Configuration configuration,
            List<ServerView> servers,
            Set<UnloadConfirmation> confirmations,
            String holder) {
        Set<UnloadConfirmation> assumedConfirmations =
                current.bindings().stream()
                        .filter(SlotBinding::releasing)
                        .map(binding -> new UnloadConfirmation(binding.model(), binding.server()))
                        .collect(Collectors.toSet());
        return mDelegate.plan(current, configuration, servers, assumedConfirmations, holder);
    }
}

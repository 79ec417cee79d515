package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelway.config.Configuration;

/**
 * Takes every release for confirmed one step after it was asked for; the naive baseline, which
 * exceeds limits when an agent is slow or cut off.
 *
 * <p>Stateless and thread-safe.
 */
public final class UnconfirmedMovePlanner implements Planner {
    private final Planner mPlanner;

    /**
     * @param policy chooses the server of each free slot
     */
    public UnconfirmedMovePlanner(PlacementPolicy policy) {
        mPlanner = new PlacementPlanner(policy);
    }

    @Override
    public Optional<PlacementDocument> plan(
            PlacementDocument current,
            Configuration configuration,
            List<ServerView> servers,
            Set<UnloadConfirmation> releases,
            String holder) {
        Set<UnloadConfirmation> assumed =
                current.bindings().stream()
                        .filter(SlotBinding::releasing)
                        .map(binding -> new UnloadConfirmation(binding.model(), binding.server()))
                        .collect(Collectors.toSet());
        return mPlanner.plan(current, configuration, servers, assumed, holder);
    }
}

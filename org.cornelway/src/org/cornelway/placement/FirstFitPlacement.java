package org.cornelway.placement;

import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;

/**
 * Baseline policy that chooses the first candidate or, for a replica that is kept loaded, the first
 * candidate that has room for it. Stateless and thread-safe.
 */
public final class FirstFitPlacement implements PlacementPolicy {
    @Override
    public Optional<ServerAllocation> choose(
            ModelRule rule, boolean warm, List<ServerAllocation> candidates) {
        return candidates.stream()
                .filter(allocation -> !warm || allocation.fitsWarm(rule.bytes()))
                .findFirst();
    }
}

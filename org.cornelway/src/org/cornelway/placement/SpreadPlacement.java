package org.cornelway.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;

/**
 * Spreads a model over availability zones, then evens out the share of memory that is spoken for.
 *
 * <p>Stateless and thread-safe.
 */
public final class SpreadPlacement implements PlacementPolicy {
    private static final Comparator<ServerAllocation> ORDER =
            Comparator.comparingInt(ServerAllocation::zoneReplicas)
                    .thenComparingDouble(ServerAllocation::boundShare)
                    .thenComparing(load -> load.server().id());

    @Override
    public Optional<ServerAllocation> choose(
            ModelRule rule, boolean warm, List<ServerAllocation> candidates) {
        return candidates.stream().filter(load -> !warm || load.fitsWarm(rule.bytes())).min(ORDER);
    }
}

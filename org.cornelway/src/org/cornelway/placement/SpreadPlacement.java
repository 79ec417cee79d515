package org.cornelway.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;

/**
 * Spreads the replicas of a model over availability zones.
 *
 * <p>Chooses, in the zones with the fewest replicas of the model, the server whose bound models
 * take the smallest share of its memory. A replica that is kept loaded is placed only on a server
 * that has room for it beside the other models that are kept loaded.
 *
 * <p>Stateless and thread-safe.
 */
public final class SpreadPlacement implements PlacementPolicy {
    private static final Comparator<ServerAllocation> ORDER =
            Comparator.comparingInt(ServerAllocation::zoneReplicas)
                    .thenComparingDouble(ServerAllocation::boundShare)
                    .thenComparing(allocation -> allocation.server().id());

    @Override
    public Optional<ServerAllocation> choose(
            ModelRule rule, boolean warm, List<ServerAllocation> candidates) {
        return candidates.stream()
                .filter(allocation -> !warm || allocation.fitsWarm(rule.bytes()))
                .min(ORDER);
    }
}

package org.cornelway.residency;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Evicts the least recently used replica among those that are idle and either draining or not
 * waited for by any request.
 *
 * <p>If there is none, no replica is draining yet and the request has waited longer than {@link
 * #DRAIN_AFTER_WAIT_MILLIS}, marks the least recently used replica as draining, and evicts it if it
 * is idle. Stateless.
 */
public final class LeastRecentlyUsedEviction implements EvictionPolicy {
    /**
     * Waiting time of a request after which a busy replica is drained to make room for its model.
     */
    public static final long DRAIN_AFTER_WAIT_MILLIS = 2_000;

    private static final Comparator<Replica> BY_LAST_USE =
            Comparator.comparingLong(Replica::lastUsedMillis).thenComparing(Replica::model);

    @Override
    public Optional<Replica> selectOrDrainForDemand(
            List<Replica> evictable, Demand demand, List<Demand> demands, long nowMillis) {
        Optional<Replica> victim =
                evictable.stream()
                        .filter(Replica::isIdle)
                        .filter(r -> r.isDraining() || !Demand.anyFor(r.model(), demands))
                        .min(BY_LAST_USE);
        boolean hasWaitedLong = nowMillis - demand.waitingSinceMillis() > DRAIN_AFTER_WAIT_MILLIS;
        if (victim.isPresent()
                || !hasWaitedLong
                || evictable.stream().anyMatch(Replica::isDraining)) {
            return victim;
        }
        Optional<Replica> leastRecentlyUsed = evictable.stream().min(BY_LAST_USE);
        leastRecentlyUsed.ifPresent(replica -> replica.setDraining(true));
        return leastRecentlyUsed.filter(Replica::isIdle);
    }

    @Override
    public Optional<Replica> selectIdle(List<Replica> evictable) {
        return evictable.stream().filter(Replica::isIdle).min(BY_LAST_USE);
    }
}

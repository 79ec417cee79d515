package org.cornelway.residency;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Evicts the least recently used replica among those that are idle and that no request waits for.
 * If there is none, a request has waited long and no replica is draining yet, drains the least
 * recently used one.
 *
 * <p>Stateless.
 */
public final class LeastRecentlyUsedEviction implements EvictionPolicy {
    /**
     * Waiting time of a request after which a busy replica is drained to make room for its model.
     */
    public static final long DRAIN_AFTER_WAIT_MILLIS = 2_000;

    private static final Comparator<Replica> ORDER =
            Comparator.comparingLong(Replica::lastUsedMillis).thenComparing(Replica::model);

    @Override
    public Optional<Replica> selectForDemand(
            List<Replica> evictable, Demand demand, List<Demand> demands, long nowMillis) {
        Optional<Replica> victim =
                evictable.stream()
                        .filter(Replica::isIdle)
                        .filter(r -> r.isDraining() || !Demand.anyFor(r.model(), demands))
                        .min(ORDER);
        boolean hasWaitedLong = nowMillis - demand.waitingSinceMillis() > DRAIN_AFTER_WAIT_MILLIS;
        if (victim.isPresent()
                || !hasWaitedLong
                || evictable.stream().anyMatch(Replica::isDraining)) {
            return victim;
        }
        Optional<Replica> oldest = evictable.stream().min(ORDER);
        oldest.ifPresent(replica -> replica.setDraining(true));
        return oldest.filter(Replica::isIdle);
    }

    @Override
    public Optional<Replica> selectIdle(List<Replica> evictable) {
        return evictable.stream().filter(Replica::isIdle).min(ORDER);
    }
}

package org.cornelway.residency;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the replica that makes room. Implementations are stateless; called on the control thread.
 */
public interface EvictionPolicy {
    /**
     * Chooses a replica that can be unloaded now for work that waits; may mark a busy one as
     * draining instead.
     *
     * @param evictable loaded replicas that need not stay
     * @param demand the work that needs room
     * @param demands all work that waits
     */
    Optional<Replica> selectForDemand(
            List<Replica> evictable, Demand demand, List<Demand> demands, long nowMillis);

    /** Chooses an idle replica for a warm one. */
    Optional<Replica> selectIdle(List<Replica> evictable);
}

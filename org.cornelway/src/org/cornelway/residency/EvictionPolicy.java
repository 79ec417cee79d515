package org.cornelway.residency;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the replica to unload when memory is needed. Implementations are stateless; called on the
 * control thread.
 */
public interface EvictionPolicy {
    /**
     * Chooses a replica that can be unloaded now, to make room for waiting requests. May mark a
     * busy replica as draining instead.
     *
     * @param evictable the loaded replicas, except the warm ones, which are kept loaded
     * @param demand the demand for a model that does not fit into the free memory
     * @param demands the demand of all waiting requests
     * @return the replica to unload, or empty if none can be unloaded now
     */
    Optional<Replica> selectOrDrainForDemand(
            List<Replica> evictable, Demand demand, List<Demand> demands, long nowMillis);

    /**
     * Chooses an idle replica to unload, to make room for one that is to be kept loaded.
     *
     * @return the replica to unload, or empty if none is idle
     */
    Optional<Replica> selectIdle(List<Replica> evictable);
}

package org.cornelway.role;

import java.util.List;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.quota.QuotaBounds;

/**
 * Validated settings of an entry that calls backend servers directly. Immutable.
 *
 * @param instanceId id of this instance
 * @param zone availability zone of this instance
 * @param region region of this instance
 * @param front address that callers connect to
 * @param ready address that the load balancer's readiness check connects to
 * @param control address that other entries connect to
 * @param store address of the key-value service
 * @param seeds control addresses of some entries, used while no peers are known; may be stale
 * @param clusterKey secret shared by all processes of the system
 * @param processorCores processor time that this instance gets, in cores of usual speed
 * @param bounds limits set by the platform
 */
public record DirectEntrySettings(
        String instanceId,
        String zone,
        String region,
        HttpEndpoint front,
        HttpEndpoint ready,
        HttpEndpoint control,
        HttpEndpoint store,
        List<HttpEndpoint> seeds,
        String clusterKey,
        double processorCores,
        Bounds bounds) {
    /**
     * Returns a copy without the settings that a running process can reload. Two copies differ only
     * if the change requires a restart.
     */
    DirectEntrySettings withoutReloadable() {
        return new DirectEntrySettings(
                instanceId,
                zone,
                region,
                front,
                ready,
                control,
                store,
                List.of(),
                clusterKey,
                processorCores,
                new Bounds(
                        bounds.graceMillis(),
                        bounds.drainMillis(),
                        bounds.reelectionMillis(),
                        bounds.retryWindowMillis(),
                        0,
                        0,
                        bounds.quotas()));
    }

    /**
     * Limits set by the platform. Immutable.
     *
     * @param graceMillis time that the process has to stop before the platform kills it
     * @param drainMillis time from the announcement that a backend server drains until no call may
     *     reach it any more
     * @param reelectionMillis shortest time between two orders of an instance to an engine if
     *     another instance has given orders in between
     * @param retryWindowMillis window over which resends are counted
     * @param retryRatio resends allowed per call
     * @param retrySlack additional resends allowed per service and window, over all processes
     * @param quotas by how much customers may exceed their quotas
     */
    public record Bounds(
            long graceMillis,
            long drainMillis,
            long reelectionMillis,
            long retryWindowMillis,
            double retryRatio,
            double retrySlack,
            QuotaBounds quotas) {}
}

package org.cornelway.role;

import java.util.List;
import org.cornelway.internal.platform.HttpEndpoint;

/**
 * Settings of an entry that calls backend servers directly, checked. Immutable.
 *
 * @param instanceId this instance's id
 * @param zone its availability zone
 * @param region its region
 * @param front address for callers
 * @param ready address of the balancer's readiness check
 * @param control address for other entries
 * @param store address of the key-value service
 * @param seeds control addresses of some entries; they may be stale
 * @param clusterKey secret that all processes of the system share
 * @param bounds bounds that the platform sets
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
        Bounds bounds) {
    /** The settings with those left out that a running process can take over. */
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
                new Bounds(bounds.graceMillis(), bounds.resendWindowMillis(), 0, 0));
    }

    /**
     * Bounds that the platform sets. Immutable.
     *
     * @param graceMillis time between the request to stop and the kill
     * @param resendWindowMillis window over which resends are counted
     * @param resendRatio resends for each call
     * @param resendSlack resends in a window besides, over all processes
     */
    public record Bounds(
            long graceMillis, long resendWindowMillis, double resendRatio, double resendSlack) {}
}

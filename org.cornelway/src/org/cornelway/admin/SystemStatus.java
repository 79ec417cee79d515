package org.cornelway.admin;

import java.util.List;

/**
 * Status of the whole system as operators see it. Immutable.
 *
 * @param preset name of the preset in force, empty if there is none
 * @param configurationVersion version of the configuration in force
 * @param configurationRevision revision of that configuration in the key-value service
 * @param placementFencingNumber fencing number of the placement that the entry which returned this
 *     status has cached
 * @param models capacity of each model
 * @param processes status of each process
 */
public record SystemStatus(
        String preset,
        long configurationVersion,
        long configurationRevision,
        long placementFencingNumber,
        List<ModelCapacity> models,
        List<ProcessStatus> processes) {}

package org.cornelway.admin;

import java.util.List;

/**
 * What operators see of the whole system. Immutable.
 *
 * @param preset preset in force, empty if none
 * @param configurationVersion its version
 * @param configurationRevision its revision in the key-value service
 * @param placementFencingNumber number of the placement at the answering entry
 * @param models capacity by model
 * @param processes all processes
 */
public record SystemStatus(
        String preset,
        long configurationVersion,
        long configurationRevision,
        long placementFencingNumber,
        List<ModelCapacity> models,
        List<ProcessStatus> processes) {}

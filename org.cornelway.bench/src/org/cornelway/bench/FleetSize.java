package org.cornelway.bench;

/**
 * Sizes of a fleet of processes. Immutable.
 *
 * @param entries number of entries
 * @param engines number of model engines, each with an agent
 * @param plainInstances number of plain service instances, each with an agent
 * @param fencingEngines engines that refuse old fencing numbers
 * @param listLagMillis lag of the instance list
 * @param loadsPerSecond loads of the weight store
 */
public record FleetSize(
        int entries,
        int engines,
        int plainInstances,
        int fencingEngines,
        long listLagMillis,
        double loadsPerSecond) {
    /** Two entries, three engines and two plain instances. */
    public static FleetSize small() {
        return new FleetSize(2, 3, 2, 1, 200, 4);
    }
}

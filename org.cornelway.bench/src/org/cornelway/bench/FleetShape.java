package org.cornelway.bench;

/**
 * Sizes of a fleet of processes. Immutable.
 *
 * @param entries number of entries
 * @param engines number of model engines, each with an agent
 * @param plain number of plain service instances, each with an agent
 * @param checkingEngines engines that refuse old fencing numbers
 * @param listLagMillis lag of the instance list
 * @param loadsPerSecond loads of the weight store
 */
public record FleetShape(
        int entries,
        int engines,
        int plain,
        int checkingEngines,
        long listLagMillis,
        double loadsPerSecond) {
    /** Two entries, three engines and two plain instances. */
    public static FleetShape small() {
        return new FleetShape(2, 3, 2, 1, 200, 4);
    }
}

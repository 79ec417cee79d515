package org.cornelway.bench;

/**
 * Size of a fleet of processes, and the delays and limits of its stand-ins. Immutable.
 *
 * @param entries number of entries
 * @param engines number of model engines, each with an agent
 * @param plainInstances number of plain service instances, each with an agent
 * @param fencingEngines number of these engines that reject orders with stale fencing numbers
 * @param listLagMillis delay until a change of the instance list is visible to its readers
 * @param loadsPerSecond model loads per second that the checkpoint store serves, over all engines
 */
public record FleetSize(
        int entries,
        int engines,
        int plainInstances,
        int fencingEngines,
        long listLagMillis,
        double loadsPerSecond) {
    /**
     * A fleet of two entries, three engines, of which one checks fencing numbers, and two plain
     * service instances.
     */
    public static FleetSize small() {
        return new FleetSize(2, 3, 2, 1, 200, 4);
    }
}

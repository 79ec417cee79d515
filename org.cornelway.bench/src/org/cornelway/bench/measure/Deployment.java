package org.cornelway.bench.measure;

/**
 * Size of one of the users' current deployments. Immutable.
 *
 * @param name name of the deployment
 * @param servers number of backend servers
 * @param models number of models
 * @param loadsPerSecond model loads per second that the checkpoint store serves while four of them
 *     run in parallel
 */
public record Deployment(String name, int servers, int models, double loadsPerSecond) {
    /**
     * Finds a deployment by name.
     *
     * @throws IllegalArgumentException if there is no deployment of this name
     */
    public static Deployment of(String name) {
        return switch (name) {
            case "belhaj" -> new Deployment("belhaj", 13, 65, 3.5);
            case "cascadia" -> new Deployment("cascadia", 13, 40, 5);
            default -> throw new IllegalArgumentException("unknown deployment " + name);
        };
    }
}

package org.cornelway.bench.measure;

/**
 * Sizes of one of the users' deployments, as of today. Immutable.
 *
 * @param name its name
 * @param servers model servers
 * @param models models
 * @param loadsPerSecond loads of the weight store, four at once at full speed
 */
public record Deployment(String name, int servers, int models, double loadsPerSecond) {
    /** The deployment of a name. */
    public static Deployment of(String name) {
        return switch (name) {
            case "belhaj" -> new Deployment("belhaj", 13, 65, 3.5);
            case "cascadia" -> new Deployment("cascadia", 13, 40, 5);
            default -> throw new IllegalArgumentException("no deployment " + name);
        };
    }
}

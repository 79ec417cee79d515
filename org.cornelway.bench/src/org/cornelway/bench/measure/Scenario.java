package org.cornelway.bench.measure;

/**
 * A request load and the disturbances that are applied to it. Immutable.
 *
 * @param measure name of the performance measure that the scenario is run for
 * @param durationSeconds time during which requests arrive, in seconds
 * @param requestsPerSecond arrival rate of all models together
 * @param hotModels number of models that get most requests and are loaded before the first arrival
 * @param coldShare share of requests for the other models, from 0 to 1
 * @param longShare share of long requests, from 0 to 1; these are in the class of deferred requests
 * @param slowServers number of servers whose engines are ten times slower
 * @param replicaLimit maximum number of replicas of each model
 */
record Scenario(
        String measure,
        int durationSeconds,
        double requestsPerSecond,
        int hotModels,
        double coldShare,
        double longShare,
        int slowServers,
        int replicaLimit) {
    /**
     * Finds the scenario of a performance measure.
     *
     * @throws IllegalArgumentException if there is no such measure
     */
    static Scenario of(String measure) {
        return switch (measure) {
            case "cold-start" -> new Scenario(measure, 300, 12, 8, 0.08, 0, 0, 2);
            case "head-of-line" -> new Scenario(measure, 300, 12, 8, 0, 0.06, 0, 2);
            case "straggler" -> new Scenario(measure, 300, 40, 8, 0, 0, 2, 4);
            default -> throw new IllegalArgumentException("unknown measure " + measure);
        };
    }

    /** Returns the same request load on servers that are all equally fast. */
    Scenario withoutSlowServers() {
        return new Scenario(
                measure,
                durationSeconds,
                requestsPerSecond,
                hotModels,
                coldShare,
                longShare,
                0,
                replicaLimit);
    }
}

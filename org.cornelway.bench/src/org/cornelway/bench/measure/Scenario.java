package org.cornelway.bench.measure;

/**
 * A load and what disturbs it. Immutable.
 *
 * @param measure the users' measure that it is for
 * @param durationSeconds length of the arrivals
 * @param requestsPerSecond arrivals, all models together
 * @param hotModels models that get most requests and are loaded before
 * @param coldShare share of requests for the other models
 * @param longShare share of long, deferred requests
 * @param slowServers servers slowed tenfold
 * @param replicaLimit replicas of each model
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
    static Scenario of(String measure) {
        return switch (measure) {
            case "cold-start" -> new Scenario(measure, 300, 12, 8, 0.08, 0, 0, 2);
            case "head-of-line" -> new Scenario(measure, 300, 12, 8, 0, 0.06, 0, 2);
            case "straggler" -> new Scenario(measure, 300, 40, 8, 0, 0, 2, 4);
            default -> throw new IllegalArgumentException("no measure " + measure);
        };
    }

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

package org.cornelway.models;

/**
 * A load on a fleet of engines with popular and rarely called models. Immutable. Times are in
 * milliseconds, rates in calls per second over all models of the kind.
 *
 * @param engines number of engines
 * @param places models that fit into an engine's memory
 * @param slots calls that an engine runs at once
 * @param popular the models that change between many calls and none
 * @param candidates number of models that may become popular
 * @param rare the models that are called rarely; without replicas at the start
 * @param rareModels number of rarely called models
 * @param rareOnDisk number of rare models that no engine holds at first but one has on disk
 * @param loads durations of loads
 */
record FleetScenario(
        int engines,
        int places,
        int slots,
        Kind popular,
        int candidates,
        int popularAtOnce,
        long shiftMillis,
        Kind rare,
        int rareModels,
        int rareOnDisk,
        LoadTimes loads) {
    /** Places for weights on an engine's disk. */
    static final int DISK_MODELS = 11;

    /** Places for weights in an engine's host memory. */
    static final int MEMORY_MODELS = 2;

    /** Calls of one kind. */
    record Kind(double callsPerSecond, long objective, long deadline, int priority) {}

    /**
     * Durations of loads.
     *
     * @param storeFullSpeed loads that the store serves at once at full speed
     */
    record LoadTimes(long store, long disk, long memory, int storeFullSpeed) {}

    int models() {
        return candidates + rareModels;
    }

    /** Returns the name of a model; the candidates for popular come first. */
    String model(int index) {
        return (index < candidates ? "p" : "r") + index;
    }

    /** 137 models on 87 places, 20 of them popular in turn. */
    static FleetScenario deploymentK() {
        return new FleetScenario(
                29,
                3,
                32,
                new Kind(130, 300, 12_000, 0),
                20,
                8,
                7_500,
                new Kind(30, 8_000, 30_000, 2),
                117,
                15,
                new LoadTimes(11_000, 1_600, 600, 2));
    }

    /** 119 models on 81 places, 11 of them popular in turn. */
    static FleetScenario deploymentV() {
        return new FleetScenario(
                27,
                3,
                48,
                new Kind(200, 300, 12_000, 1),
                11,
                5,
                7_500,
                new Kind(16, 4_000, 30_000, 1),
                108,
                3,
                new LoadTimes(14_300, 1_600, 600, 1));
    }

    /** 38 models on 26 places with short objectives. */
    static FleetScenario shortObjectives38() {
        return new FleetScenario(
                13,
                2,
                16,
                new Kind(40, 400, 2_500, 0),
                10,
                5,
                8_000,
                new Kind(8, 2_500, 5_000, 2),
                28,
                12,
                new LoadTimes(7_800, 800, 250, 2));
    }

    /** 66 models on 39 places with short objectives. */
    static FleetScenario shortObjectives66() {
        return new FleetScenario(
                13,
                3,
                24,
                new Kind(60, 300, 2_500, 0),
                16,
                6,
                8_000,
                new Kind(15, 3_000, 6_000, 2),
                50,
                20,
                new LoadTimes(7_800, 800, 250, 2));
    }
}

package org.cornelway.models;

/**
 * Decides when a model is loaded for the calls that have been collected for it.
 *
 * <p>Meant for models whose calls come every few seconds and have objectives of several seconds. A
 * load that would cost other callers more than its own is put off to its latest useful start: it
 * serves the most calls then, and the place that it takes serves another model until then. Pure and
 * thread-safe.
 */
final class BatchTiming {
    /**
     * Reserve for orders, reports and the estimates of calls' ends; an engine's report lags by up
     * to a second.
     */
    private static final long RESERVE_MILLIS = 1_200;

    private BatchTiming() {}

    /**
     * Returns the latest useful start of a load.
     *
     * @param objectiveMillis when the objective of the first waiting call passes
     * @param totalMillis expected time from the start until the model is loaded
     * @param backlogMillis duration of the loads that other models need from the same engine
     */
    static long latestStartMillis(long objectiveMillis, long totalMillis, long backlogMillis) {
        return objectiveMillis - totalMillis - backlogMillis - RESERVE_MILLIS;
    }

    /**
     * Whether the load begins now: it costs other callers little, or its latest useful start has
     * come. A load that need not wait for that start leaves its calls the time that engines may
     * take beyond their estimates.
     *
     * @param plan a plan that can begin now
     */
    static boolean isDue(LoadPlan plan, long latestStartMillis, long nowMillis) {
        return plan.victims().isEmpty() || plan.isWorthwhile() || nowMillis >= latestStartMillis;
    }
}

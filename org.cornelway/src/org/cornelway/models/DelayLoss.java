package org.cornelway.models;

import org.cornelway.traffic.ModelRate;

/**
 * Computes the loss that delays cause to callers. A call that misses its latency objective by 4
 * seconds has a loss of 1.
 *
 * <p>The loss of a call grows with the square of its delay up to its latency objective, and
 * linearly, without bound, after that. Stateless.
 */
public final class DelayLoss {
    /** Loss of a call that just misses its latency objective. */
    private static final double LOSS_AT_OBJECTIVE = 0.8;

    /** Additional loss per second after the objective. */
    private static final double LOSS_PER_LATE_SECOND = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    private DelayLoss() {}

    /** Returns the loss of one call with the given delay. */
    public static double ofCall(double delayMillis, double objectiveMillis) {
        if (delayMillis <= objectiveMillis) {
            double fraction = delayMillis / objectiveMillis;
            return LOSS_AT_OBJECTIVE * fraction * fraction;
        }
        return LOSS_AT_OBJECTIVE
                + LOSS_PER_LATE_SECOND * (delayMillis - objectiveMillis) / MILLIS_PER_SECOND;
    }

    /** Returns the additional loss of a call that has already waited and continues to wait. */
    public static double ofWaiting(
            double waitedMillis, double furtherMillis, double objectiveMillis) {
        return ofCall(waitedMillis + furtherMillis, objectiveMillis)
                - ofCall(waitedMillis, objectiveMillis);
    }

    /**
     * Returns the total loss of the calls that arrive while their model is not loaded; each waits
     * until it is.
     */
    static double ofArrivals(ModelRate rate, double unavailableMillis) {
        double callsPerMilli = rate.callsPerSecond() / MILLIS_PER_SECOND;
        double objective = rate.objectiveMillis();
        double early = Math.min(unavailableMillis, objective);
        double late = Math.max(0, unavailableMillis - objective);
        // Integral of ofCall over the delays from 0 to unavailableMillis: the calls are assumed to
        // arrive evenly over that time.
        double loss =
                LOSS_AT_OBJECTIVE * early * early * early / (3 * objective * objective)
                        + LOSS_AT_OBJECTIVE * late
                        + LOSS_PER_LATE_SECOND / MILLIS_PER_SECOND * late * late / 2;
        return callsPerMilli * loss;
    }
}

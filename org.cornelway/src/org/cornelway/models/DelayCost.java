package org.cornelway.models;

import org.cornelway.traffic.ModelRate;

/**
 * What a delay costs callers, in calls that come late.
 *
 * <p>A call loses little while its objective can still be met, all but a rest once it has passed,
 * and the rest slowly after that. Stateless.
 */
final class DelayCost {
    /** What a call loses that just misses its objective. */
    private static final double LATE = 0.8;

    /** Further loss for each second after the objective. */
    private static final double LATER_PER_SECOND = 0.05;

    private static final double SECOND_MILLIS = 1_000;

    private DelayCost() {}

    /** Loss of one call that is delayed. */
    static double ofCall(double delayMillis, double objectiveMillis) {
        if (delayMillis <= objectiveMillis) {
            double part = delayMillis / objectiveMillis;
            return LATE * part * part;
        }
        return LATE + LATER_PER_SECOND * (delayMillis - objectiveMillis) / SECOND_MILLIS;
    }

    /** Loss of one call that has waited already and waits on. */
    static double ofWaiting(double waitedMillis, double moreMillis, double objectiveMillis) {
        return ofCall(waitedMillis + moreMillis, objectiveMillis)
                - ofCall(waitedMillis, objectiveMillis);
    }

    /** Loss of all calls that arrive while their model is gone. */
    static double ofArrivals(ModelRate rate, double goneMillis) {
        double perMilli = rate.callsPerSecond() / SECOND_MILLIS;
        double objective = rate.objectiveMillis();
        double early = Math.min(goneMillis, objective);
        double late = Math.max(0, goneMillis - objective);
        double loss =
                LATE * early * early * early / (3 * objective * objective)
                        + LATE * late
                        + LATER_PER_SECOND / SECOND_MILLIS * late * late / 2;
        return perMilli * loss;
    }
}

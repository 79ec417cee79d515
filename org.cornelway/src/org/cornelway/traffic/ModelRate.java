package org.cornelway.traffic;

/**
 * The rate of calls for one model. Immutable.
 *
 * @param callsPerSecond calls received per second, including those that wait for the model
 * @param objectiveMillis shortest latency objective of these calls
 */
public record ModelRate(double callsPerSecond, long objectiveMillis) {
    /** The rate of a model without calls. */
    public static final ModelRate NONE = new ModelRate(0, 1_000);

    /** Returns the sum of both rates with the shorter of the objectives. */
    public ModelRate plus(ModelRate other) {
        return new ModelRate(
                callsPerSecond + other.callsPerSecond,
                Math.min(objectiveMillis, other.objectiveMillis));
    }
}

package org.cornelway.traffic;

/**
 * How callers ask for one model. Immutable.
 *
 * @param callsPerSecond calls a second, those that wait included
 * @param objectiveMillis shortest latency objective among them
 */
public record ModelRate(double callsPerSecond, long objectiveMillis) {
    /** A model that nobody asks for. */
    public static final ModelRate NONE = new ModelRate(0, 1_000);

    /** Both together. */
    public ModelRate plus(ModelRate other) {
        return new ModelRate(
                callsPerSecond + other.callsPerSecond,
                Math.min(objectiveMillis, other.objectiveMillis));
    }
}

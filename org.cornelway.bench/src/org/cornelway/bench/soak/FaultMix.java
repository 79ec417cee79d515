package org.cornelway.bench.soak;

/**
 * How often faults happen, as shares from 0 to 1. Immutable.
 *
 * @param callLost a call to the key-value service never takes effect
 * @param answerLost its answer is lost after it took effect
 * @param slowCall it takes seconds
 * @param agentKilled an agent is killed, at each step
 * @param connection a connection breaks or goes silent, at each frame
 */
public record FaultMix(
        double callLost,
        double answerLost,
        double slowCall,
        double agentKilled,
        double connection) {
    /** No faults. */
    public static FaultMix none() {
        return new FaultMix(0, 0, 0, 0, 0);
    }

    /** Faults a few times in a hundred. */
    public static FaultMix moderate() {
        return new FaultMix(0.05, 0.05, 0.02, 0.02, 0.03);
    }
}

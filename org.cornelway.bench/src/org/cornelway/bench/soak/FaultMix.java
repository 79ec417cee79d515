package org.cornelway.bench.soak;

/**
 * Probabilities of the injected faults, from 0 to 1. Immutable.
 *
 * @param callLossProbability the request of a call to the key-value service is lost, so that the
 *     call never takes effect
 * @param responseLossProbability the response to a call is lost after the call took effect
 * @param slowCallProbability a call to the key-value service takes up to several seconds
 * @param agentKillProbability an agent is killed in one step of a run; runs also derive the rates
 *     of freezes, of replaced and leaving instances and of preset switches from it
 * @param connectionFaultProbability a connection fault occurs, such as a refused call, a lost
 *     message, a repeated frame or a broken connection; drawn separately for each fault and each
 *     call, message or frame
 */
public record FaultMix(
        double callLossProbability,
        double responseLossProbability,
        double slowCallProbability,
        double agentKillProbability,
        double connectionFaultProbability) {
    /** No faults. */
    public static FaultMix none() {
        return new FaultMix(0, 0, 0, 0, 0);
    }

    /** Faults with probabilities of two to five percent. */
    public static FaultMix moderate() {
        return new FaultMix(0.05, 0.05, 0.02, 0.02, 0.03);
    }
}

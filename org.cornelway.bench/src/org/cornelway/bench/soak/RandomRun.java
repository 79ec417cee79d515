package org.cornelway.bench.soak;

/** A random run of one part of the decision logic. Implementations are stateless. */
public interface RandomRun {
    /** Name on the command line. */
    String name();

    /**
     * Runs in virtual time.
     *
     * @param seed makes the run repeatable
     * @param steps length
     * @param mix how often faults happen
     */
    RunReport run(long seed, int steps, FaultMix mix);
}

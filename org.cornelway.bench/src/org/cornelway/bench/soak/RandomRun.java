package org.cornelway.bench.soak;

/**
 * A randomized test of one part of the decision logic.
 *
 * <p>Implementations keep no state between runs.
 */
public interface RandomRun {
    /** Returns the name by which the command line selects the run. */
    String name();

    /**
     * Runs the test in virtual time.
     *
     * @param seed seed of all random choices; the same seed repeats the run
     * @param steps number of random steps
     * @param mix probabilities of the injected faults
     * @return counts of operations and faults, and the violations found
     */
    RunReport run(long seed, int steps, FaultMix mix);
}

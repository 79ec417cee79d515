package org.cornelway.bench.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Repeats the random runs with increasing seeds for a given time, and prints the violations found.
 */
public final class SoakProgram {
    private static final int MAX_PRINTED_VIOLATIONS_PER_RUN = 20;

    @Parameter(names = "--seed", description = "First seed")
    private long mSeed = 1;

    @Parameter(names = "--minutes", description = "Duration of the soak test (min)")
    private double mMinutes = 1;

    @Parameter(names = "--steps", description = "Number of steps of each run")
    private int mSteps = 600;

    @Parameter(names = "--run", description = "Name of a run, or all")
    private String mRun = "all";

    @Parameter(
            names = "--call-lost",
            description = "Probability that a request to the store is lost")
    private double mCallLost = FaultMix.moderate().callLossProbability();

    @Parameter(
            names = "--answer-lost",
            description = "Probability that the response to a call is lost")
    private double mResponseLost = FaultMix.moderate().responseLossProbability();

    @Parameter(names = "--slow-call", description = "Probability that a call to the store is slow")
    private double mSlowCall = FaultMix.moderate().slowCallProbability();

    @Parameter(names = "--killed", description = "Probability that an agent is killed in a step")
    private double mKilled = FaultMix.moderate().agentKillProbability();

    @Parameter(
            names = "--connection",
            description = "Probability of a connection fault per frame or message")
    private double mConnection = FaultMix.moderate().connectionFaultProbability();

    /** Returns the random runs, in the order in which they are repeated. */
    public static List<RandomRun> runs() {
        return List.of(
                new IntentRun(),
                new PlacementRun(),
                new ExchangeRun(),
                new RelayRun(),
                new ConfigurationRun());
    }

    /** Runs the program; exits with status 1 if a run reports a violation. */
    public static void main(String[] arguments) {
        SoakProgram program = new SoakProgram();
        JCommander.newBuilder().addObject(program).build().parse(arguments);
        System.exit(program.repeatRuns() ? 0 : 1);
    }

    private boolean repeatRuns() {
        FaultMix mix = new FaultMix(mCallLost, mResponseLost, mSlowCall, mKilled, mConnection);
        long endNanos = System.nanoTime() + (long) (mMinutes * TimeUnit.MINUTES.toNanos(1));
        RunReport total = new RunReport();
        long seed = mSeed;
        do {
            for (RandomRun run : runs()) {
                if (mRun.equals("all") || mRun.equals(run.name())) {
                    total.add(runAndPrintViolations(run, seed, mix));
                }
            }
            seed++;
        } while (System.nanoTime() < endNanos);
        System.out.println("seeds " + mSeed + " to " + (seed - 1) + ", " + mix);
        System.out.println("operations " + total.operations());
        total.faults().forEach((kind, count) -> System.out.println("fault " + kind + " " + count));
        System.out.println("violations " + total.violations().size());
        return total.violations().isEmpty();
    }

    private RunReport runAndPrintViolations(RandomRun run, long seed, FaultMix mix) {
        RunReport report = run.run(seed, mSteps, mix);
        report.violations().stream()
                .limit(MAX_PRINTED_VIOLATIONS_PER_RUN)
                .forEach(v -> System.out.println(run.name() + " seed " + seed + ": " + v));
        return report;
    }
}

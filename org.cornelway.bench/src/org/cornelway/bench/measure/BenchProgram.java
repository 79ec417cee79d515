package org.cornelway.bench.measure;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Random;
import org.cornelway.config.Json;

/** Compares the policies chosen for the system with naive ones, on the same request arrivals. */
public final class BenchProgram {
    private static final List<String> MEASURES = List.of("cold-start", "head-of-line", "straggler");

    @Parameter(
            description = "Performance measure: cold-start, head-of-line, straggler or all",
            required = true)
    private String mMeasure;

    @Parameter(
            names = "--deployment",
            description = "Deployment whose size is simulated: belhaj or cascadia")
    private String mDeployment = "belhaj";

    @Parameter(names = "--seed", description = "Seed of the random request load")
    private long mSeed = 1;

    /** Runs the selected trials and prints one JSON object for each measure. */
    public static void main(String[] arguments) {
        BenchProgram program = new BenchProgram();
        JCommander.newBuilder().addObject(program).build().parse(arguments);
        Deployment deployment = Deployment.of(program.mDeployment);
        for (String measure : MEASURES) {
            if (program.mMeasure.equals("all") || program.mMeasure.equals(measure)) {
                System.out.println(program.compare(deployment, Scenario.of(measure)));
            }
        }
        System.exit(0);
    }

    private ObjectNode compare(Deployment deployment, Scenario scenario) {
        TrialResult naive = new Trial(deployment, scenario, PolicySet.naive(), mSeed).run();
        TrialResult chosen = runChosen(deployment, scenario);
        ObjectNode result = Json.lenientMapper().createObjectNode();
        result.put("measure", scenario.measure()).put("kind", "trial in virtual time");
        result.put("deployment", deployment.name()).put("seed", mSeed).put("unit", "p99 ms");
        result.put("naive", naive.p99Millis()).put("chosen", chosen.p99Millis());
        result.put("ratio", (double) chosen.p99Millis() / naive.p99Millis());
        if (scenario.slowServers() > 0) {
            TrialResult withoutSlowServers = runChosen(deployment, scenario.withoutSlowServers());
            result.put("unslowed", withoutSlowServers.p99Millis());
            result.put(
                    "ratioToUnslowed",
                    (double) chosen.p99Millis() / withoutSlowServers.p99Millis());
        }
        result.put("answered", chosen.answered()).put("refused", chosen.refused());
        result.put("late", chosen.late()).put("lost", chosen.unfinished());
        result.put("violations", naive.violations() + chosen.violations());
        result.put("naiveAnswered", naive.answered()).put("naiveRefused", naive.refused());
        return result.put("naiveLate", naive.late());
    }

    private TrialResult runChosen(Deployment deployment, Scenario scenario) {
        Random random = new Random(mSeed + 2);
        PolicySet policies = PolicySet.chosen(random::nextInt);
        return new Trial(deployment, scenario, policies, mSeed).run();
    }
}

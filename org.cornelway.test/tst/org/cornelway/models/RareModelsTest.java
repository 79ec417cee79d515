package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays loads on simulated fleets and compares the scheduling of deferrable calls with that without
 * it, which serves all calls as if none could wait.
 */
public class RareModelsTest {
    private static final long PLAY_MILLIS = 60_000;
    private static final long SEED = 1;

    /** Share by which figures of one seed vary with the order of equally good choices. */
    private static final double NOISE = 0.015;

    private static FleetFigures play(FleetScenario scenario, DeferralPolicy deferral) {
        FleetSimulation simulation =
                new FleetSimulation(
                        scenario,
                        SEED,
                        (engines, time, events) ->
                                new ModelController(
                                        engines,
                                        time,
                                        new FixedTerm(),
                                        new CheapestLoadPlanner(),
                                        EngineLimits.NONE,
                                        deferral,
                                        events));
        FleetFigures figures = simulation.play(PLAY_MILLIS);
        assertThat(simulation.overcommits()).isZero();
        return figures;
    }

    @DataProvider
    public Object[][] rareLoads() {
        return new Object[][] {
            {"K", FleetScenario.deploymentK()}, {"V", FleetScenario.deploymentV()}
        };
    }

    /**
     * Guards against rare models that displace popular ones, calls that wait for a load whose turn
     * does not come, and loads from the store for the wrong models or on the wrong engines.
     */
    @Test(dataProvider = "rareLoads")
    public void moreRareAndPopularCallsAreServed(String name, FleetScenario scenario) {
        FleetFigures before = play(scenario, DeferralPolicy.NEVER);
        FleetFigures after = play(scenario, DeferralPolicy.BY_OBJECTIVE);
        System.out.println(name + " without deferral: " + before);
        System.out.println(name + " with deferral: " + after);
        assertThat(after.rare().servedShare()).isGreaterThan(before.rare().servedShare());
        assertThat(after.rare().inTimeShare()).isGreaterThan(before.rare().inTimeShare() - NOISE);
        assertThat(after.popular().inTimeShare()).isGreaterThan(before.popular().inTimeShare());
        assertThat(after.rare().endedAfterWaitShare())
                .isLessThan(before.rare().endedAfterWaitShare() / 5);
    }

    @DataProvider
    public Object[][] shortObjectives() {
        return new Object[][] {
            {"38 models", FleetScenario.shortObjectives38()},
            {"66 models", FleetScenario.shortObjectives66()}
        };
    }

    /** Guards against any change for loads whose calls cannot wait. */
    @Test(dataProvider = "shortObjectives")
    public void callsWithShortObjectivesAreServedAsWithoutDeferral(
            String name, FleetScenario scenario) {
        FleetFigures before = play(scenario, DeferralPolicy.NEVER);
        FleetFigures after = play(scenario, DeferralPolicy.BY_OBJECTIVE);
        System.out.println(name + ": " + after);
        assertThat(after.calls()).isEqualTo(before.calls());
    }
}

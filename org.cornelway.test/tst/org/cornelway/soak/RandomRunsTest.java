package org.cornelway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.soak.ConfigurationRun;
import org.cornelway.bench.soak.ExchangeRun;
import org.cornelway.bench.soak.FaultMix;
import org.cornelway.bench.soak.IntentRun;
import org.cornelway.bench.soak.PlacementRun;
import org.cornelway.bench.soak.RandomRun;
import org.cornelway.bench.soak.RelayRun;
import org.cornelway.bench.soak.RunReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Executes the random runs without and with faults; no run may report a violation. */
public final class RandomRunsTest {
    private static final int STEPS = 600;
    private static final int SEEDS = 10;

    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {new IntentRun()},
            {new ConfigurationRun()},
            {new PlacementRun()},
            {new ExchangeRun()},
            {new RelayRun()},
        };
    }

    @Test(dataProvider = "runs")
    public void hasNoViolationsWithoutFaults(RandomRun run) {
        RunReport report = run.run(1, STEPS, FaultMix.none());
        assertThat(report.violations()).isEmpty();
        assertThat(report.operations()).isGreaterThanOrEqualTo(STEPS / RelayRun.STEPS_PER_CHANGE);
    }

    @Test(dataProvider = "runs")
    public void hasNoViolationsUnderFaults(RandomRun run) {
        RunReport total = new RunReport();
        for (int seed = 1; seed <= SEEDS; seed++) {
            total.add(run.run(seed, STEPS, FaultMix.moderate()));
        }
        assertThat(total.violations()).isEmpty();
        assertThat(total.faults()).isNotEmpty();
    }
}

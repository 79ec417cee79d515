package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;
import org.testng.annotations.Test;

/** Tests the demand computed from usage reports and restored rates. */
public class DemandTableTest {
    private static final ModelTarget TARGET = new ModelTarget("m", "a");

    private final DemandTable mDemand = new DemandTable();

    private static ModelUsage.Snapshot usage(
            int active, long remainingMillis, double callsPerSecond) {
        return new ModelUsage.Snapshot(
                List.of(new ModelUsage.ActiveCalls("s", TARGET, active, remainingMillis)),
                Map.of("m", new ModelRate(callsPerSecond, 500)));
    }

    @Test
    public void reportsOfAllEntriesAreSummed() {
        mDemand.recordReport("p1", usage(2, 400, 3), 1_000);
        mDemand.recordReport("p2", usage(1, 900, 4), 1_000);
        assertThat(mDemand.activeCalls("s", "m", 1_000)).isEqualTo(3);
        assertThat(mDemand.totalActiveCalls("m", 1_000)).isEqualTo(3);
        assertThat(mDemand.rate("m", 1_000)).isEqualTo(new ModelRate(7, 500));
        assertThat(mDemand.remainingMillis("s", "m", 1_200)).isEqualTo(700);
        assertThat(mDemand.remainingMillis("s", "other", 1_200)).isZero();
    }

    @Test
    public void expiredReportsAreIgnored() {
        mDemand.recordReport("p1", usage(2, 400, 3), 1_000);
        assertThat(mDemand.activeCalls("s", "m", 5_000)).isZero();
        assertThat(mDemand.isIdle(5_000)).isTrue();
    }

    @Test
    public void restoredRatesDecayUntilReportedOnesExceedThem() {
        mDemand.restoreRates(Map.of("m", new ModelRate(8, 300)), 10_000);
        assertThat(mDemand.rate("m", 10_000).callsPerSecond()).isEqualTo(8);
        assertThat(mDemand.rate("m", 12_000).callsPerSecond()).isBetween(3.9, 4.1);
        mDemand.recordReport("p1", usage(0, 0, 6), 12_000);
        assertThat(mDemand.rate("m", 12_000).callsPerSecond()).isEqualTo(6);
        assertThat(mDemand.isIdle(12_000)).isFalse();
    }

    /** Plays random reports, some of which stop, against a table that is built anew each time. */
    @Test
    public void countsEqualTheSumOverEntries() {
        Random random = new Random(1);
        DemandTable demand = new DemandTable();
        Map<String, ModelUsage.Snapshot> last = new HashMap<>();
        for (long now = 0; now < 100_000; now += 20) {
            String entry = "p" + random.nextInt(8);
            ModelUsage.Snapshot usage =
                    usage(random.nextInt(4), random.nextInt(900), random.nextInt(5));
            demand.recordReport(entry, usage, now);
            last.put(entry, usage);
            int expected =
                    last.values().stream()
                            .mapToInt(each -> each.activeCalls().get(0).count())
                            .sum();
            assertThat(demand.activeCalls("s", "m", now)).isEqualTo(expected);
            assertThat(demand.totalActiveCalls("m", now)).isEqualTo(expected);
            double rate =
                    last.values().stream()
                            .mapToDouble(each -> each.rates().get("m").callsPerSecond())
                            .sum();
            assertThat(demand.rate("m", now).callsPerSecond()).isEqualTo(rate);
        }
        assertThat(demand.isIdle(200_000)).isTrue();
    }
}

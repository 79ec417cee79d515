package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.longs;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cornelway.directory.ServerIncarnation;
import org.testng.annotations.Test;

/** Tests that the permits of all entries together keep to the rate of a server. */
public class PermitLedgerTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("s", 1);
    private static final long REPORT_MILLIS = 250;
    private static final long DAY_MILLIS = 60_000;
    private static final long WINDOW_MILLIS = 4_000;

    /** Time for which an entry may use a permit. */
    private static final long PERMIT_MILLIS = 1_000;

    /** Plays reports of entries with random demand; returns when the permits were dealt out. */
    private static List<Long> play(int entries, double rate, long seed) {
        Random random = new Random(seed);
        PermitLedger ledger = new PermitLedger();
        List<Long> dealt = new ArrayList<>();
        for (long now = 0; now < DAY_MILLIS; now += REPORT_MILLIS) {
            boolean quiet = now / 10_000 % 2 == 1;
            for (int i = 0; i < entries; i++) {
                int calls = quiet ? 0 : random.nextInt(4);
                int permits = ledger.deal(SERVER, "entry-" + i, calls, rate, now);
                for (int each = 0; each < permits; each++) {
                    dealt.add(now);
                }
            }
        }
        return dealt;
    }

    private static long mostWithin(List<Long> times, long millis) {
        return times.stream()
                .mapToLong(
                        from -> times.stream().filter(t -> t >= from && t < from + millis).count())
                .max()
                .orElse(0);
    }

    @Test
    public void anyNumberOfEntriesStaysBelowTheLimitTogether() {
        qt().withFixedSeed(42)
                .withExamples(60)
                .forAll(
                        integers().between(1, 390),
                        integers().between(1, 300),
                        longs().between(0, 1_000_000))
                .check(
                        (entries, tenths, seed) -> {
                            double rate = tenths / 10.0;
                            List<Long> dealt =
                                    play(Math.min(entries, 40 + entries / 8), rate, seed);
                            double allowed = 1.5 * rate * WINDOW_MILLIS / 1_000 + 5;
                            return mostWithin(dealt, WINDOW_MILLIS + PERMIT_MILLIS) <= allowed;
                        });
    }

    @Test
    public void wholeRateIsDealtOutWhileThereIsDemand() {
        PermitLedger ledger = new PermitLedger();
        int dealt = 0;
        for (long now = 0; now < DAY_MILLIS; now += REPORT_MILLIS) {
            dealt += ledger.deal(SERVER, "a", 1, 1.2, now);
        }
        assertThat(dealt).isBetween(70, 72);
    }

    @Test
    public void entriesWithEqualDemandTakeTurns() {
        PermitLedger ledger = new PermitLedger();
        int[] dealt = new int[5];
        for (long now = 0; now < DAY_MILLIS; now += REPORT_MILLIS) {
            for (int i = 0; i < dealt.length; i++) {
                dealt[i] += ledger.deal(SERVER, "entry-" + i, 1, 1, now + i);
            }
        }
        for (int each : dealt) {
            assertThat(each).isBetween(9, 15);
        }
    }

    @Test
    public void entryWithoutDemandGetsNothing() {
        PermitLedger ledger = new PermitLedger();
        for (long now = 0; now < DAY_MILLIS; now += REPORT_MILLIS) {
            assertThat(ledger.deal(SERVER, "idle", 0, 100, now)).isZero();
        }
    }

    @Test
    public void newLedgerStartsWithoutPermits() {
        PermitLedger ledger = new PermitLedger();
        assertThat(ledger.hasPermit(SERVER, 1, 0)).isFalse();
        assertThat(ledger.deal(SERVER, "a", 5, 1, 0)).isZero();
        assertThat(ledger.deal(SERVER, "a", 5, 1, 900)).isZero();
        assertThat(ledger.deal(SERVER, "a", 5, 1, 1_000)).isEqualTo(1);
    }

    @Test
    public void claimOfEntryThatStopsReportingHoldsUpNobody() {
        PermitLedger ledger = new PermitLedger();
        ledger.deal(SERVER, "gone", 1_000, 1, 0);
        int dealt = 0;
        for (long now = 0; now <= 3_000; now += REPORT_MILLIS) {
            dealt += ledger.deal(SERVER, "alive", 1, 1, now);
        }
        assertThat(dealt).isGreaterThanOrEqualTo(2);
    }

    @Test
    public void serverThatTakesNoneIsAskedNowAndThen() {
        PermitLedger ledger = new PermitLedger();
        int dealt = 0;
        for (long now = 0; now < DAY_MILLIS; now += REPORT_MILLIS) {
            dealt += ledger.deal(SERVER, "a", 1, 0, now);
        }
        assertThat(dealt).isBetween(5, 6);
    }

    @Test
    public void lowerRateTakesBackWhatHasAccumulated() {
        PermitLedger ledger = new PermitLedger();
        ledger.deal(SERVER, "a", 0, 1_000, 0);
        ledger.deal(SERVER, "a", 0, 1_000, 1_000);
        assertThat(ledger.deal(SERVER, "a", 50, 1, 1_001)).isEqualTo(1);
    }
}

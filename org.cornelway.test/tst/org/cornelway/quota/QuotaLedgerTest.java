package org.cornelway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the grants of one ledger. */
public class QuotaLedgerTest {
    private static final String NAME = "north";
    private static final double RATE = 1_000;
    private static final double BURST = 4_000;
    private static final int ENTRIES = 2;

    private QuotaLedger mLedger;

    @BeforeMethod
    public void createLedger() {
        mLedger = new QuotaLedger(7, QuotaBounds.none());
        mLedger.configure(List.of(QuotaFleet.customer(NAME, RATE, BURST)));
    }

    private static QuotaReport report(String entry, long ledger, QuotaReport.Use... uses) {
        return new QuotaReport(entry, 1, true, false, ledger, List.of(uses), 0);
    }

    private static QuotaReport.Use use(double ceiling, double spent, double ret, double wanted) {
        return new QuotaReport.Use(NAME, ceiling, spent, ret, wanted, wanted, 0, 0);
    }

    private QuotaReply.Grant grant(QuotaReport report, long nowMillis) {
        return mLedger.handle(report, ENTRIES, nowMillis).grants().get(0);
    }

    /** Both entries report often enough to be counted, with nothing spent. */
    private void fillFor(long millis) {
        for (long now = 0; now <= millis; now += 100) {
            grant(report("a", 7), now);
            grant(report("b", 7), now);
        }
    }

    /** Guards against a second burst after a new controller or a restart of all processes. */
    @Test
    public void newLedgerBeginsEmpty() {
        assertThat(grant(report("a", 0, use(0, 0, 0, 100)), 0).ceiling()).isZero();
    }

    @Test
    public void bucketHoldsTheBurst() {
        fillFor(20_000);
        assertThat(mLedger.level(NAME)).isEqualTo(BURST);
        assertThat(grant(report("a", 7, use(0, 0, 0, 3_000)), 20_000).ceiling()).isEqualTo(3_000);
    }

    /** Guards against a ledger that hands out what entries elsewhere use. */
    @Test
    public void onlyTheShareOfReportersIsHandedOut() {
        for (long now = 0; now <= 20_000; now += 100) {
            grant(report("a", 7), now);
        }
        assertThat(mLedger.level(NAME)).isEqualTo(BURST / ENTRIES);
        for (long now = 20_000; now <= 40_000; now += 100) {
            grant(report("a", 7).withoutShare(), now);
        }
        assertThat(mLedger.level(NAME)).isZero();
    }

    /** Guards against entries that together hold more than the burst. */
    @Test
    public void unspentGrantsCountTowardTheBurst() {
        fillFor(20_000);
        QuotaReport.Use holding = use(3_000, 0, 0, 0);
        grant(report("a", 7, use(0, 0, 0, 3_000)), 20_000);
        for (long now = 20_100; now <= 40_000; now += 100) {
            grant(report("a", 7, holding), now);
            grant(report("b", 7), now);
        }
        assertThat(mLedger.level(NAME)).isEqualTo(BURST - 3_000);
    }

    @Test
    public void returnedTokensAreGrantedAgainAndOnce() {
        fillFor(20_000);
        grant(report("a", 7, use(0, 0, 0, BURST)), 20_000);
        grant(report("a", 7, use(BURST, 3_000, 3_000, 0)), 20_000);
        grant(report("a", 7, use(BURST, 3_000, 3_000, 0)), 20_000);
        assertThat(mLedger.level(NAME)).isEqualTo(3_000);
    }

    @Test
    public void waitIsTheTimeUntilTheTokensAreThere() {
        fillFor(20_000);
        grant(report("a", 7, use(0, 0, 0, BURST)), 20_000);
        // The entry has spent what it got, so that the bucket can fill again.
        grant(report("a", 7, use(BURST, BURST, 0, 0)), 20_000);
        QuotaReply.Grant denied = grant(report("b", 7, use(0, 0, 0, 500)), 20_000);
        assertThat(denied.ceiling()).isZero();
        assertThat(denied.waitMillis()).isEqualTo(500);
    }

    /** Guards against a change of the ledger that doubles what an entry holds. */
    @Test
    public void tokensOfAnotherLedgerAreAdoptedUpToAnEntrysPart() {
        assertThat(grant(report("a", 6, use(5_000, 1_000, 0, 0)), 0).ceiling())
                .isEqualTo(1_000 + BURST / ENTRIES);
    }
}

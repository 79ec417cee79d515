package org.cornelway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.cornelway.route.Customer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in virtual time that customers keep to their quotas and get them. */
public class QuotaFleetTest {
    private static final int ENTRIES = 22;
    private static final double CALL_COST = 980;
    private static final double CHECK_COST = 428;
    private static final int CHECKS_IN_TEN = 3;
    private static final Customer SMALL = QuotaFleet.customer("small", 3_300, 6_600);
    private static final Customer MIDDLE = QuotaFleet.customer("middle", 18_000, 27_000);
    private static final Customer LARGE = QuotaFleet.customer("large", 90_000, 100_000);
    private static final List<Customer> CUSTOMERS = List.of(SMALL, MIDDLE, LARGE);

    /** Part of its quota that a customer uses. */
    private static final double USUAL = 1 / 1.8;

    private static final double SERVED_SHARE = 0.98;
    private static final long DAY_MILLIS = 60_000;
    private static final int SEEDS = 20;
    private static final int PARTS_OF_A_DAY = 12;

    @DataProvider
    public Object[][] entriesWithCalls() {
        return new Object[][] {{1}, {3}, {ENTRIES}};
    }

    private static QuotaFleet newFleet(long seed, boolean naive) {
        QuotaFleet fleet = new QuotaFleet(seed, ENTRIES, CUSTOMERS, naive);
        fleet.mEntries.forEach(QuotaFleet.Entry::start);
        fleet.mController = Optional.of("e1");
        fleet.run(8_000, () -> {});
        return fleet;
    }

    /** Sends calls of a customer at a multiple of its rate to some of the entries. */
    private static void sendCalls(
            QuotaFleet fleet, Customer customer, double multiple, int entries) {
        double tokens = customer.quota().perSecond() * multiple * QuotaFleet.STEP_MILLIS / 1_000;
        double usualCost = (CALL_COST * (10 - CHECKS_IN_TEN) + CHECK_COST * CHECKS_IN_TEN) / 10;
        double calls = tokens / usualCost;
        while (fleet.mRandom.nextDouble() < calls) {
            double cost = fleet.mRandom.nextInt(10) < CHECKS_IN_TEN ? CHECK_COST : CALL_COST;
            fleet.mEntries.get(fleet.mRandom.nextInt(entries)).call(customer, cost);
            calls--;
        }
    }

    private static void playUsualDay(QuotaFleet fleet, int entries) {
        fleet.run(
                DAY_MILLIS,
                () -> CUSTOMERS.forEach(each -> sendCalls(fleet, each, USUAL, entries)));
    }

    @Test(dataProvider = "entriesWithCalls")
    public void customersWithinTheirQuotaAreServed(int entries) {
        QuotaFleet fleet = newFleet(1, false);
        playUsualDay(fleet, entries);
        for (Customer each : CUSTOMERS) {
            assertThat(fleet.counts(each.name()).servedShare())
                    .as(each.name())
                    .isGreaterThanOrEqualTo(SERVED_SHARE);
        }
    }

    /** Guards against a policy that does without a ledger. */
    @Test(dataProvider = "entriesWithCalls")
    public void fixedSharesRefuseCustomersWithinTheirQuota(int entries) {
        QuotaFleet fleet = newFleet(1, true);
        playUsualDay(fleet, entries);
        assertThat(fleet.counts(SMALL.name()).servedShare()).isLessThan(SERVED_SHARE);
    }

    /** Guards against a question to the ledger for each call of a large customer. */
    @Test
    public void callsOfLargeCustomersDoNotWait() {
        QuotaFleet fleet = newFleet(2, false);
        int before = fleet.mAsks;
        fleet.run(DAY_MILLIS, () -> sendCalls(fleet, LARGE, USUAL, ENTRIES));
        QuotaFleet.Counts counts = fleet.counts(LARGE.name());
        assertThat(counts.mWaited).isLessThan(counts.mCalls / 20);
        assertThat(fleet.mAsks - before).isLessThan(counts.mCalls / 20);
    }

    @Test
    public void customerAtSevenTimesItsUsualCostsTheOthersNothing() {
        QuotaFleet fleet = newFleet(3, false);
        fleet.run(
                DAY_MILLIS,
                () -> {
                    sendCalls(fleet, SMALL, USUAL, ENTRIES);
                    sendCalls(fleet, MIDDLE, 7 * USUAL, ENTRIES);
                    sendCalls(fleet, LARGE, USUAL, ENTRIES);
                });
        assertThat(fleet.counts(SMALL.name()).servedShare()).isGreaterThanOrEqualTo(SERVED_SHARE);
        assertThat(fleet.counts(LARGE.name()).servedShare()).isGreaterThanOrEqualTo(SERVED_SHARE);
        double quota = MIDDLE.quota().perSecond() * DAY_MILLIS / 1_000;
        assertThat(fleet.counts(MIDDLE.name()).mServedTokens).isBetween(0.9 * quota, 1.1 * quota);
        assertThat(fleet.worstWindow(MIDDLE)).isLessThanOrEqualTo(1);
    }

    /** Guards against grants, balances and returned tokens of the quota before. */
    @Test
    public void lowerQuotaHoldsOneWindowLater() {
        Customer halved = QuotaFleet.customer(MIDDLE.name(), 9_000, 9_000);
        QuotaFleet fleet = newFleet(4, false);
        fleet.run(DAY_MILLIS / 2, () -> sendCalls(fleet, MIDDLE, 3, ENTRIES));
        fleet.mCustomers = List.of(SMALL, halved, LARGE);
        fleet.run(fleet.mBounds.windowMillis(), () -> sendCalls(fleet, halved, 6, ENTRIES));
        fleet.mArrivals.clear();
        fleet.run(DAY_MILLIS / 2, () -> sendCalls(fleet, halved, 6, ENTRIES));
        assertThat(fleet.worstWindow(halved)).isLessThanOrEqualTo(1);
    }

    /** Guards against a small customer that gets nothing until a controller is elected. */
    @Test
    public void freshFleetServesCustomersWithoutController() {
        int calls = 0;
        int served = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            QuotaFleet fleet = newFleet(seed, false);
            fleet.mHasStoredNumber = true;
            fleet.mEntries.forEach(each -> fleet.restart(each, 1_000 + fleet.mRandom.nextInt(500)));
            fleet.mController = Optional.empty();
            fleet.changeController(4_500);
            fleet.mCounts.clear();
            fleet.run(10_000, () -> sendCalls(fleet, SMALL, USUAL, ENTRIES));
            calls += fleet.counts(SMALL.name()).mCalls;
            served += fleet.counts(SMALL.name()).mServed;
        }
        assertThat((double) served / calls).isGreaterThan(0.75);
    }

    @Test
    public void quotasHoldWhateverFails() {
        for (long seed = 0; seed < SEEDS; seed++) {
            QuotaFleet fleet = newFleet(seed, false);
            fleet.mHasStoredNumber = seed % 2 == 0;
            fleet.mLateOneIn = 50;
            fleet.mLateMillis = 800;
            fleet.mLostOneIn = 100;
            for (int part = 0; part < PARTS_OF_A_DAY; part++) {
                disturb(fleet);
                playPart(fleet);
            }
            for (Customer each : CUSTOMERS) {
                assertThat(fleet.worstWindow(each))
                        .as("seed %d, %s", seed, each.name())
                        .isLessThanOrEqualTo(1);
            }
        }
    }

    /** Plays a few seconds with customers at their usual or up to seven times that. */
    private static void playPart(QuotaFleet fleet) {
        double[] loads =
                CUSTOMERS.stream()
                        .mapToDouble(
                                each ->
                                        fleet.mRandom.nextBoolean()
                                                ? USUAL
                                                : USUAL * (1 + fleet.mRandom.nextInt(7)))
                        .toArray();
        int entries = fleet.mRandom.nextBoolean() ? ENTRIES : 1 + fleet.mRandom.nextInt(ENTRIES);
        fleet.run(
                1_000 + fleet.mRandom.nextInt(7_000),
                () -> {
                    for (int i = 0; i < loads.length; i++) {
                        sendCalls(fleet, CUSTOMERS.get(i), loads[i], entries);
                    }
                });
    }

    private static void disturb(QuotaFleet fleet) {
        switch (fleet.mRandom.nextInt(8)) {
            case 0 -> {
                fleet.mEntries.forEach(
                        each -> fleet.restart(each, 500 + fleet.mRandom.nextInt(3_000)));
                fleet.mController = Optional.empty();
                fleet.changeController(fleet.mRandom.nextInt(4_000));
            }
            case 1 -> fleet.restart(fleet.mEntries.get(fleet.mRandom.nextInt(ENTRIES)), 1_500);
            case 2 -> {
                fleet.mController.flatMap(fleet::find).ifPresent(e -> fleet.restart(e, 2_000));
                fleet.changeController(fleet.mRandom.nextInt(3_000));
            }
            case 3 -> fleet.changeController(0);
            case 4 -> fleet.mEntries.forEach(e -> fleet.cut(e, e.mZone == 2));
            case 5 -> fleet.mEntries.forEach(e -> fleet.cut(e, fleet.mRandom.nextInt(4) == 0));
            default -> fleet.mEntries.forEach(e -> fleet.cut(e, false));
        }
    }
}

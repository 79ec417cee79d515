package org.cornelway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cornelway.route.Customer;
import org.testng.annotations.Test;

/** Tests in virtual time that customers keep to their quotas and get them. */
public class QuotaFleetTest {
    private static final int ENTRIES = 22;
    private static final double CALL_COST = 980;
    private static final double CHECK_COST = 428;
    private static final Customer SMALL = QuotaFleet.customer("small", 3_300, 6_600);
    private static final Customer MIDDLE = QuotaFleet.customer("middle", 18_000, 27_000);
    private static final Customer LARGE = QuotaFleet.customer("large", 90_000, 100_000);
    private static final List<Customer> CUSTOMERS = List.of(SMALL, MIDDLE, LARGE);

    /** Part of its quota that a customer uses. */
    private static final double USUAL = 1 / 1.8;

    private static QuotaFleet newFleet(long seed, boolean naive) {
        QuotaFleet fleet = new QuotaFleet(seed, ENTRIES, CUSTOMERS, naive);
        fleet.mEntries.forEach(QuotaFleet.Entry::start);
        fleet.mController = java.util.Optional.of("e1");
        return fleet;
    }

    /** Sends calls of a customer at a multiple of its rate. */
    private static void sendCalls(QuotaFleet fleet, Customer customer, double multiple, int over) {
        double mean = customer.quota().perSecond() * multiple * QuotaFleet.STEP_MILLIS / 1_000;
        double calls = mean / (CALL_COST * 0.7 + CHECK_COST * 0.3);
        while (fleet.mRandom.nextDouble() < calls) {
            double cost = fleet.mRandom.nextInt(10) < 7 ? CALL_COST : CHECK_COST;
            fleet.mEntries.get(fleet.mRandom.nextInt(over)).call(customer, cost);
            calls--;
        }
    }

    private static void warm(QuotaFleet fleet) {
        fleet.run(8_000, () -> {});
    }

    private static void playUsual(QuotaFleet fleet, int over) {
        fleet.run(60_000, () -> CUSTOMERS.forEach(each -> sendCalls(fleet, each, USUAL, over)));
    }

    @Test
    public void customersWithinTheirQuotaAreServed() {
        for (int over : new int[] {1, ENTRIES}) {
            QuotaFleet fleet = newFleet(1, false);
            warm(fleet);
            playUsual(fleet, over);
            for (Customer each : CUSTOMERS) {
                QuotaFleet.Counts counts = fleet.counts(each.name());
                System.out.println(
                        each.name()
                                + " over "
                                + over
                                + ": "
                                + counts.servedShare()
                                + " waited "
                                + (double) counts.mWaited / counts.mCalls
                                + " calls "
                                + counts.mCalls
                                + " worst "
                                + fleet.worstWindow(each));
                assertThat(counts.servedShare()).as(each.name()).isGreaterThanOrEqualTo(0.98);
            }
            System.out.println("messages " + fleet.mMessages + " asks " + fleet.mAsks);
        }
    }

    /** Guards against a policy that would do without the ledger. */
    @Test
    public void fixedSharesRefuseCustomersWithinTheirQuota() {
        for (int over : new int[] {1, ENTRIES}) {
            QuotaFleet fleet = newFleet(1, true);
            warm(fleet);
            playUsual(fleet, over);
            System.out.println(
                    "naive "
                            + over
                            + " "
                            + fleet.counts("small").servedShare()
                            + " "
                            + fleet.counts("large").servedShare());
            assertThat(fleet.counts("small").servedShare()).isLessThan(0.98);
        }
    }

    @Test
    public void usualCustomersAreServedBesideOneAtSevenTimesItsUsual() {
        QuotaFleet fleet = newFleet(3, false);
        warm(fleet);
        fleet.run(
                60_000,
                () -> {
                    sendCalls(fleet, SMALL, 7 * USUAL, ENTRIES);
                    sendCalls(fleet, MIDDLE, USUAL, ENTRIES);
                    sendCalls(fleet, LARGE, USUAL, ENTRIES);
                });
        assertThat(fleet.counts("middle").servedShare()).isGreaterThanOrEqualTo(0.98);
        CUSTOMERS.forEach(
                each -> {
                    System.out.println(
                            "7x "
                                    + each.name()
                                    + " "
                                    + fleet.counts(each.name()).servedShare()
                                    + " worst "
                                    + fleet.worstWindow(each));
                    assertThat(fleet.worstWindow(each)).isLessThanOrEqualTo(1);
                });
        System.out.println("messages " + fleet.mMessages + " asks " + fleet.mAsks);
    }

    @Test
    public void quotasHoldWhateverFails() {
        List<Double> worst = new ArrayList<>();
        for (long seed = 0; seed < 30; seed++) {
            QuotaFleet fleet = newFleet(seed, false);
            fleet.mLateOneIn = 50;
            fleet.mLateMillis = 800;
            fleet.mLostOneIn = 100;
            double[] load = new double[CUSTOMERS.size()];
            for (int part = 0; part < 12; part++) {
                for (int i = 0; i < load.length; i++) {
                    load[i] =
                            USUAL
                                    * (fleet.mRandom.nextInt(2) == 0
                                            ? 1
                                            : 1 + fleet.mRandom.nextInt(7));
                }
                disturb(fleet);
                int over =
                        fleet.mRandom.nextBoolean() ? ENTRIES : 1 + fleet.mRandom.nextInt(ENTRIES);
                fleet.run(
                        1_000 + fleet.mRandom.nextInt(7_000),
                        () -> {
                            for (int i = 0; i < load.length; i++) {
                                sendCalls(fleet, CUSTOMERS.get(i), load[i], over);
                            }
                        });
            }
            for (Customer each : CUSTOMERS) {
                worst.add(fleet.worstWindow(each));
                assertThat(fleet.worstWindow(each))
                        .as("seed %d, %s", seed, each.name())
                        .isLessThanOrEqualTo(1);
            }
        }
        System.out.println(
                "worst "
                        + worst.stream().mapToDouble(d -> d).max().getAsDouble()
                        + " mean "
                        + worst.stream().mapToDouble(d -> d).average().getAsDouble());
    }

    private static void disturb(QuotaFleet fleet) {
        int what = fleet.mRandom.nextInt(8);
        if (what == 0) {
            for (QuotaFleet.Entry each : fleet.mEntries) {
                fleet.restart(each, 500 + fleet.mRandom.nextInt(3_000));
            }
            fleet.mController = java.util.Optional.empty();
            fleet.changeController(fleet.mRandom.nextInt(4_000));
        } else if (what == 1) {
            fleet.restart(fleet.mEntries.get(fleet.mRandom.nextInt(ENTRIES)), 1_500);
        } else if (what == 2) {
            fleet.mController.ifPresent(
                    id ->
                            fleet.restart(
                                    fleet.mEntries.get(Integer.parseInt(id.substring(1))), 2_000));
            fleet.changeController(fleet.mRandom.nextInt(3_000));
        } else if (what == 3) {
            fleet.changeController(0);
        } else if (what == 4 || what == 5) {
            for (QuotaFleet.Entry each : fleet.mEntries) {
                boolean isCut = what == 4 ? each.mZone == 2 : fleet.mRandom.nextInt(4) == 0;
                fleet.mGroups.put(each.mId, isCut ? 1 : 0);
            }
        } else {
            fleet.mEntries.forEach(each -> fleet.mGroups.put(each.mId, 0));
        }
    }
}

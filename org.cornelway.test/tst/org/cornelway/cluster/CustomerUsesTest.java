package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cornelway.overload.CustomerUse;
import org.testng.annotations.Test;

/** Tests that the controller computes shares from the sum over the entries that report. */
public class CustomerUsesTest {
    private final CustomerUses mUses = new CustomerUses();

    private static List<org.cornelway.rpc.CustomerUse> report(double usual, double bursting) {
        return List.of(
                CustomerUses.toMessage("usual", new CustomerUse(usual, usual, 1_000)),
                CustomerUses.toMessage("bursting", new CustomerUse(bursting, bursting / 4, 100)));
    }

    /** Guards against a customer that is small at each entry and large over all. */
    @Test
    public void sharesFollowFromTheSumOverEntries() {
        for (int i = 0; i < 22; i++) {
            mUses.record("e" + i, report(20, 12), 0);
        }
        assertThat(mUses.fractions()).containsOnlyKeys("bursting");
        assertThat(CustomerUses.fromMessages(mUses.toMessages())).isEqualTo(mUses.fractions());
    }

    /** Guards against the use of an entry that has ended or is partitioned counting for ever. */
    @Test
    public void reportsLapse() {
        mUses.record("e1", report(0, 500), 0);
        mUses.record("e2", List.of(), 1_500);
        assertThat(mUses.fractions()).isEqualTo(Map.of());
    }
}

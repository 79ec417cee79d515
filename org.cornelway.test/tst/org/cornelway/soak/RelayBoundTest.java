package org.cornelway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.soak.RelayRun;
import org.testng.annotations.Test;

/** The relay at the target's number of processes, in virtual time. */
public final class RelayBoundTest {
    private static final int PROCESSES = 1_310;

    @Test
    public void changeReachesTheTargetsFleetInTime() {
        RelayRun.Spread spread = new RelayRun(PROCESSES).measure(1);
        assertThat(spread.millis()).isLessThanOrEqualTo(RelayRun.BOUND_MILLIS);
        assertThat(spread.watches()).isLessThanOrEqualTo(10);
    }
}

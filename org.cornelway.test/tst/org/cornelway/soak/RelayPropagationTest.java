package org.cornelway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.soak.RelayRun;
import org.testng.annotations.Test;

/** The relay at the target's number of processes, in virtual time. */
public final class RelayPropagationTest {
    private static final int PROCESSES = 1_310;

    @Test
    public void changeReachesTheTargetsFleetInTime() {
        RelayRun.PropagationResult spread = new RelayRun(PROCESSES).measurePropagation(1);
        assertThat(spread.propagationMillis())
                .isLessThanOrEqualTo(RelayRun.PROPAGATION_LIMIT_MILLIS);
        assertThat(spread.watchesStarted()).isLessThanOrEqualTo(10);
    }
}

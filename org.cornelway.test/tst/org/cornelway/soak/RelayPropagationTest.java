package org.cornelway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.soak.RelayRun;
import org.testng.annotations.Test;

/**
 * Tests how fast a change reaches all processes of a fleet of the target size, and how many watches
 * they start, in virtual time.
 */
public final class RelayPropagationTest {
    private static final int PROCESSES = 1_310;

    @Test
    public void changeReachesAllProcessesWithinLimitWithFewWatches() {
        RelayRun.PropagationResult result = new RelayRun(PROCESSES).measurePropagation(1);
        assertThat(result.propagationMillis())
                .isLessThanOrEqualTo(RelayRun.PROPAGATION_LIMIT_MILLIS);
        assertThat(result.watchesStarted()).isLessThanOrEqualTo(10);
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.testng.annotations.Test;

/** Tests that an entry learns of changes in time after the key-value service was silent. */
public class SilentStoreProcessTest extends DirectTestBase {
    /** Longer than the lease, so that calls to the service fail meanwhile. */
    private static final long SILENCE_MILLIS = 3_000;

    /** Time without disruption from which the users' bounds hold. */
    private static final long STABLE_MILLIS = 3_000;

    /** Time from the announcement of a drain until no call may reach the server any more. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final int CALLS = 20;

    @Test
    public void serverThatDrainsAfterTheStoreWasSilentGetsNoCalls() throws InterruptedException {
        fleet().store().injectFault(Fault.NO_RESPONSE);
        Thread.sleep(SILENCE_MILLIS);
        fleet().store().injectFault(Fault.NONE);
        Thread.sleep(STABLE_MILLIS);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "draining", 1_000);
        Thread.sleep(DRAIN_MILLIS);
        long before = executedCalls("p1");
        for (int i = 0; i < CALLS; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(executedCalls("p1")).isEqualTo(before);
    }
}

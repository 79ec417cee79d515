package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests that an engine which says to the controller only that it leaves is not used any more. */
public class LeavingReplyProcessTest extends DirectTestBase {
    /** Time in which the controller begins its term and reads the first reports. */
    private static final long SETTLING_MILLIS = 6_000;

    private static final int CALLS = 10;

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.backendServer("e1").addToReplies("Server-Leaving: 1\r\n");
        fleet.backendServer("e2").addToReplies("Server-Leaving: 0\r\n");
    }

    @Test
    public void engineThatSaysInReportThatItLeavesGetsNoCalls() throws InterruptedException {
        Thread.sleep(SETTLING_MILLIS);
        for (int i = 0; i < CALLS; i++) {
            assertCompleteStream(stream("/resume/a", i % 2 == 0 ? "m1" : "m2"));
        }
        assertThat(fleet().backendServer("e1").receivedCalls()).isEmpty();
    }
}

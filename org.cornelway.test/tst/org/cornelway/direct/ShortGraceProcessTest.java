package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests that calls are answered before SIGKILL if the platform grants little time for a stop. */
public class ShortGraceProcessTest extends DirectTestBase {
    private static final int GRACE_SECONDS = 3;
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.setGrace(GRACE_SECONDS);
    }

    @Test
    public void callWithoutResponseIsAnsweredBeforeSigkill()
            throws IOException, InterruptedException {
        fleet().backendServer("p1").injectFault(Fault.NO_RESPONSE);
        fleet().backendServer("p2").injectFault(Fault.NO_RESPONSE);
        try (RawCall call = new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS)) {
            call.sendHead("/unsafe/a", newRequestId(), "Content-Length: 0\r\n");
            ProcessFleet.await("a send", () -> executedCalls("p1") + executedCalls("p2") == 1);
            fleet().signal(0, "TERM");
            if (!fleet().entryProcess(0).waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
                fleet().signal(0, "KILL");
            }
            assertThat(call.readResponse())
                    .hasValueSatisfying(
                            response -> assertThat(response).startsWith("HTTP/1.1 502"));
        }
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.BackendServerStandin.Fault;
import org.testng.annotations.Test;

/** Callers that leave, and addresses that another server has taken over. */
public class LeavingCallersProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;

    @Test
    public void callerThatLeavesEndsTheWorkOfTheServer() throws IOException {
        fleet().server("e1").stream(1_000, 200);
        try (Socket caller = new Socket("127.0.0.1", fleet().front(0))) {
            String request =
                    "POST /stream/a HTTP/1.1\r\nHost: "
                            + DirectFleet.HOST
                            + "\r\nX-Request-Id: "
                            + newId()
                            + "\r\nX-Deadline-Ms: 9000\r\nX-Model: m2\r\n"
                            + "Content-Length: 0\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ProcessFleet.await("stream", () -> ran("e1") == 1);
            assertThat(fleet().server("e1").abandoned()).isZero();
        }
        ProcessFleet.await("end of the work", () -> fleet().server("e1").abandoned() == 1);
    }

    @Test
    public void serverAtAnAddressThatChangedHandsRunsNothing() {
        fleet().announceAt(DirectFleet.PLAIN, "p3", "e1");
        fleet().server("p1").fail(Fault.FULL);
        fleet().server("p2").fail(Fault.FULL);
        for (int i = 0; i < 10; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(UNAVAILABLE);
        }
        assertThat(ran("e1")).isZero();
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/**
 * Tests that a stream is cancelled when its caller disconnects, and that a server does not execute
 * calls that are meant for another server whose announcement has the same address.
 */
public class CallerDisconnectProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;

    @Test
    public void callerDisconnectCancelsTheStreamOnTheServer() throws IOException {
        fleet().backendServer("e1").configureStream(1_000, 200);
        try (Socket caller = new Socket("127.0.0.1", fleet().frontPort(0))) {
            String request =
                    "POST /stream/a HTTP/1.1\r\nHost: "
                            + DirectFleet.HOST
                            + "\r\nX-Request-Id: "
                            + newRequestId()
                            + "\r\nX-Deadline-Ms: 9000\r\nX-Model: m2\r\n"
                            + "Content-Length: 0\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ProcessFleet.await("stream", () -> executedCalls("e1") == 1);
            assertThat(fleet().backendServer("e1").abandonedStreams()).isZero();
        }
        ProcessFleet.await(
                "end of the stream on the server",
                () -> fleet().backendServer("e1").abandonedStreams() == 1);
    }

    @Test
    public void serverAtReassignedAddressExecutesNoCalls() {
        fleet().announceWithAddressOf(DirectFleet.PLAIN_SERVICE, "p3", "e1");
        fleet().backendServer("p1").injectFault(Fault.OVERLOADED);
        fleet().backendServer("p2").injectFault(Fault.OVERLOADED);
        for (int i = 0; i < 10; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(UNAVAILABLE);
        }
        assertThat(executedCalls("e1")).isZero();
    }
}

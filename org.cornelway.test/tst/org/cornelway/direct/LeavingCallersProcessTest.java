package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no call is sent to a server after its caller has left. */
public class LeavingCallersProcessTest extends DirectTestBase {
    /** Time after which a caller gives up a call that is not read. */
    private static final long PATIENCE_MILLIS = 1_000;

    /** Time in which an entry handles all that arrived while it was paused. */
    private static final long SETTLE_MILLIS = 1_000;

    /** Time after which the entry sends a call of kind safe again, and a margin. */
    private static final long RESEND_MILLIS = 1_000;

    private static final int CALLERS = 60;

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {{"/safe/a", ""}, {"/unsafe/a", ""}, {"/stream/a", "m1"}};
    }

    /** Opens a connection and sends a call on it. */
    private Socket sendCall(String path, String model) throws IOException {
        Socket caller = new Socket("127.0.0.1", fleet().frontPort(0));
        String modelHeader = model.isEmpty() ? "" : "X-Model: " + model + "\r\n";
        String request =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + DirectFleet.HOST
                        + "\r\nX-Request-Id: "
                        + newRequestId()
                        + "\r\nX-Deadline-Ms: 9000\r\n"
                        + modelHeader
                        + "Content-Length: 0\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private long receivedCalls() {
        return List.of("p1", "p2", "e1", "e2").stream()
                .mapToLong(id -> fleet().backendServer(id).receivedCalls().size())
                .sum();
    }

    private static void closeAll(List<Socket> callers) throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
    }

    @Test(dataProvider = "calls")
    public void callsOfCallersThatLeftWhileTheEntryWasPausedReachNoServer(String path, String model)
            throws IOException, InterruptedException {
        fleet().signal(0, "STOP");
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(sendCall(path, model));
        }
        Thread.sleep(PATIENCE_MILLIS);
        closeAll(callers);
        fleet().signal(0, "CONT");
        Thread.sleep(SETTLE_MILLIS);
        assertThat(receivedCalls()).isZero();
    }

    @Test
    public void callWhoseCallerLeftIsNotSentAgain() throws IOException, InterruptedException {
        fleet().backendServer("p1").injectFault(Fault.NO_RESPONSE);
        fleet().backendServer("p2").injectFault(Fault.NO_RESPONSE);
        try (Socket caller = sendCall("/safe/a", "")) {
            ProcessFleet.await("a first send", () -> receivedCalls() == 1);
        }
        Thread.sleep(RESEND_MILLIS);
        assertThat(receivedCalls()).isEqualTo(1);
    }
}

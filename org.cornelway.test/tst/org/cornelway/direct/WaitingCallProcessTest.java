package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.stream.Collectors;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.PlatformStoreStandin;
import org.testng.annotations.Test;

/** Tests what the caller of an adapter gets that no controller can load. */
public class WaitingCallProcessTest extends DirectTestBase {
    /** Time after which a caller abandons a stream that has not begun: four times its objective. */
    private static final int ABANDON_MILLIS = 4_000;

    /** Longest time for which the controller may still order after the store has gone. */
    private static final long TERM_END_MILLIS = 2_500;

    @Test
    public void callThatWaitsForItsModelIsRefusedBeforeTheCallerAbandonsIt()
            throws IOException, InterruptedException {
        fleet().store().injectFault(PlatformStoreStandin.Fault.UNAVAILABLE);
        Thread.sleep(TERM_END_MILLIS);
        try (Socket caller = new Socket("127.0.0.1", fleet().frontPort(0))) {
            caller.setSoTimeout(ABANDON_MILLIS);
            String request =
                    "POST /stream/a HTTP/1.1\r\nHost: "
                            + DirectFleet.HOST
                            + "\r\nX-Request-Id: "
                            + newRequestId()
                            + "\r\nX-Deadline-Ms: 9000\r\nX-Model: m1/a2\r\n"
                            + "Connection: close\r\nContent-Length: 0\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String response =
                    new BufferedReader(
                                    new InputStreamReader(
                                            caller.getInputStream(), StandardCharsets.US_ASCII))
                            .lines()
                            .collect(Collectors.joining("\n"))
                            .toLowerCase(Locale.ROOT);
            assertThat(response).startsWith("http/1.1 503").contains("retry-after:");
        }
    }
}

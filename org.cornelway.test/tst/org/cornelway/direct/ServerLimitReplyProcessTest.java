package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests that entries keep to a limit that engines have named before they get any call. */
public class ServerLimitReplyProcessTest extends ServerLimitTestBase {
    private static final List<String> ENGINES = List.of("e1", "e2");

    /** Number of calls that are sent at once. */
    private static final int BURST = 60;

    @Override
    void prepareFleet(DirectFleet fleet) {
        for (String id : ENGINES) {
            fleet.backendServer(id).addToReplies("Server-Limit: " + LIMIT + "\r\n");
            fleet.backendServer(id).addToResponses("Server-Limit: " + LIMIT + "\r\n");
        }
    }

    @Test
    public void limitNamedInReportsAndRepliesToOrdersHoldsForTheFirstCalls()
            throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            int port = fleet().frontPort(i % entryCount());
            responses.add(
                    fleet().http()
                            .send("POST", port, "/resume/a", "x", headers(newRequestId(), "m1")));
        }
        assertThat(responses).extracting(each -> each.join().status()).isSubsetOf(OK, UNAVAILABLE);
        assertLimitKept(ENGINES, 0);
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests many calls at once to servers whose answers never end, with the memory of production. */
public class EndlessAnswersProcessTest extends DirectTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int CALLS_AT_ONCE = 120;

    @Override
    void prepareFleet(DirectFleet fleet) {
        // The memory flags of deploy/system.toml.
        fleet.setFlags(
                "-Xms24m",
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=24m",
                "-XX:ReservedCodeCacheSize=32m");
    }

    @DataProvider
    public Object[][] endlessAnswers() {
        return new Object[][] {
            {Fault.ENDLESS_BODY}, {Fault.ENDLESS_HEAD}, {Fault.ENDLESS_SHORT_HEADERS}
        };
    }

    /** Guards against memory for all endless answers together, which ended other calls. */
    @Test(dataProvider = "endlessAnswers")
    public void streamsAreServedBesideManyEndlessAnswers(Fault fault) {
        fleet().backendServer("p1").injectFault(fault);
        fleet().backendServer("p2").injectFault(fault);
        List<CompletableFuture<Response>> endless = sendAtOnce("/unsafe/a", "");
        while (hasOpenCalls(endless)) {
            assertCompleteStream(stream("/stream/a", "m1"));
        }
        assertFailedVisibly(endless);
        assertServesCalls();
    }

    /** Guards against memory for all endless events together, which ended other calls. */
    @Test
    public void callsAreServedBesideManyEndlessEvents() {
        // In a stream, a body that does not end is an event that does not end.
        fleet().backendServer("e1").injectFault(Fault.ENDLESS_BODY);
        fleet().backendServer("e2").injectFault(Fault.ENDLESS_BODY);
        List<CompletableFuture<Response>> endless = sendAtOnce("/stream/a", "m1");
        while (hasOpenCalls(endless)) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        for (CompletableFuture<Response> call : endless) {
            assertThat(call.handle((response, failure) -> isFailure(response)).join()).isTrue();
        }
        assertServesCalls();
    }

    /** Whether a call failed; a call that was not sent is refused. */
    private static boolean isFailure(Response response) {
        return response == null
                || Set.of(BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT).contains(response.status());
    }

    private static boolean hasOpenCalls(List<CompletableFuture<Response>> calls) {
        return calls.stream().anyMatch(call -> !call.isDone());
    }

    /** Asserts that no call is told that it has not run. */
    private static void assertFailedVisibly(List<CompletableFuture<Response>> calls) {
        for (CompletableFuture<Response> call : calls) {
            assertThat(call.join().status()).isIn(BAD_GATEWAY, GATEWAY_TIMEOUT);
        }
    }

    private List<CompletableFuture<Response>> sendAtOnce(String path, String model) {
        List<CompletableFuture<Response>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            calls.add(
                    fleet().http()
                            .send(
                                    "POST",
                                    fleet().frontPort(0),
                                    path,
                                    "x",
                                    headers(newRequestId(), model)));
        }
        return calls;
    }

    private void assertServesCalls() {
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
        for (String id : List.of("p1", "p2", "e1", "e2")) {
            fleet().backendServer(id).injectFault(Fault.NONE);
        }
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        assertCompleteStream(stream("/stream/a", "m1"));
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls whose server sends bytes without end, or without completing an event. */
public class SpoiledResponseProcessTest extends DirectTestBase {
    private static final int BAD_GATEWAY = 502;

    /** Number of calls; each server gets some of them. */
    private static final int CALLS = 6;

    private static final int CALLS_BESIDE_ENDLESS_EVENT = 200;
    private static final String SHORT_DEADLINE_MILLIS = "1500";

    @Test
    public void resumableStreamMovesFromServerThatCompletesNoEvent() {
        fleet().backendServer("e1").injectFault(Fault.TRICKLE);
        for (int i = 0; i < CALLS; i++) {
            assertCompleteStream(stream("/resume/a", "m1"));
        }
        assertThat(executedCalls("e1")).isPositive();
    }

    @Test
    public void responsesThatEndWithTheirConnectionAreForwardedWhole() {
        for (String id : List.of("p1", "p2", "e1", "e2")) {
            fleet().backendServer(id).injectFault(Fault.UNFRAMED);
        }
        assertThat(call("/unsafe/a", "x").body()).isEqualTo("done x");
        assertThat(call("/safe/a", "x").body()).isEqualTo("done x");
        assertCompleteStream(stream("/stream/a", "m1"));
    }

    @Test
    public void streamThatEndsWithinAnEventIsResumedAtAnotherServer() {
        fleet().backendServer("e1").injectFault(Fault.UNFRAMED_PARTIAL_EVENT);
        for (int i = 0; i < CALLS; i++) {
            assertCompleteStream(stream("/resume/a", "m1"));
        }
        assertThat(executedCalls("e1")).isPositive();
    }

    @Test
    public void streamThatEndsWithinAnEventAndCannotBeResumedIsNotEndedAsComplete() {
        fleet().backendServer("e1").injectFault(Fault.UNFRAMED_PARTIAL_EVENT);
        fleet().backendServer("e2").injectFault(Fault.UNFRAMED_PARTIAL_EVENT);
        assertThatThrownBy(() -> stream("/stream/a", "m1"))
                .isInstanceOf(IllegalStateException.class);
    }

    /** Guards against a complete stream without the events that follow a wrong id. */
    @Test
    public void eventsAfterWrongEventIdReachTheCaller() {
        fleet().backendServer("e1").injectFault(Fault.WRONG_EVENT_ID);
        fleet().backendServer("e2").injectFault(Fault.WRONG_EVENT_ID);
        for (String path : List.of("/stream/a", "/resume/a")) {
            Response response = stream(path, "m1");
            assertThat(response.status()).isEqualTo(OK);
            assertThat(response.body().lines().filter(line -> line.startsWith("id: ")))
                    .containsExactly("id: 1", "id: 2", "id: 83", "id: 4", "id: 5");
        }
    }

    /** Guards against an event without end in small chunks that keeps all other calls waiting. */
    @Test
    public void callsAreAnsweredWhileAnEventOfAnotherCallNeverEnds() {
        fleet().backendServer("e1").injectFault(Fault.ENDLESS_EVENT);
        fleet().backendServer("e2").injectFault(Fault.ENDLESS_EVENT);
        CompletableFuture<Void> endless =
                CompletableFuture.runAsync(
                        () ->
                                assertThatThrownBy(() -> stream("/stream/a", "m1"))
                                        .isInstanceOf(IllegalStateException.class));
        for (int i = 0; i < CALLS_BESIDE_ENDLESS_EVENT; i++) {
            Response response =
                    fleet().http()
                            .call(
                                    "POST",
                                    fleet().frontPort(0),
                                    "/safe/a",
                                    "x",
                                    new Header("Host", DirectFleet.HOST),
                                    new Header("X-Request-Id", newRequestId()),
                                    new Header("X-Deadline-Ms", SHORT_DEADLINE_MILLIS));
            assertThat(response.status()).as(response.body()).isEqualTo(OK);
        }
        endless.join();
    }

    @DataProvider
    public Object[][] endless() {
        return new Object[][] {{Fault.ENDLESS_BYTES}, {Fault.ENDLESS_HEAD}};
    }

    @Test(dataProvider = "endless")
    public void callsEndAndTheConnectionIsClosedIfBytesNeverEnd(Fault fault) {
        fleet().backendServer("p1").injectFault(fault);
        fleet().backendServer("p2").injectFault(fault);
        assertThat(call("/unsafe/a", "x").status()).isEqualTo(BAD_GATEWAY);
        ProcessFleet.await(
                "close of the connection",
                () ->
                        fleet().backendServer("p1").abandonedStreams()
                                        + fleet().backendServer("p2").abandonedStreams()
                                == 1);
        fleet().backendServer("p2").injectFault(Fault.NONE);
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
    }
}

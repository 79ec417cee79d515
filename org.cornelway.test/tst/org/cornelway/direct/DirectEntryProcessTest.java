package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests one entry as a real process, with every route kind and with faulty backend servers. */
public class DirectEntryProcessTest extends DirectTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    @Test
    public void servesEachRouteKind() {
        assertThat(call("/safe/a", "x").body()).isEqualTo("done x");
        assertThat(call("/unsafe/a", "x").body()).isEqualTo("done x");
        assertCompleteStream(stream("/resume/a", "m1"));
        assertCompleteStream(stream("/stream/a", "m1"));
        assertThat(call("/nowhere/a", "x").status()).isEqualTo(NOT_FOUND);
    }

    @Test
    public void loadsModelAndAdapterOnDemand() {
        assertCompleteStream(stream("/stream/a", "m3"));
        assertCompleteStream(stream("/stream/a", "m2/a1"));
    }

    @Test
    public void unsafeCallIsSentOnceWhenItsResponseIsLost() {
        fleet().backendServer("p1").injectFault(Fault.CLOSE_CONNECTION);
        fleet().backendServer("p2").injectFault(Fault.CLOSE_CONNECTION);
        Response response = call("/unsafe/a", "x");
        assertThat(response.status()).isEqualTo(BAD_GATEWAY);
        assertThat(executedCalls("p1") + executedCalls("p2")).isEqualTo(1);
    }

    @Test
    public void unsafeCallIsRetriedWhenServerDeclaresItNotRun() {
        fleet().backendServer("p1").injectFault(Fault.OVERLOADED);
        for (int i = 0; i < 4; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(executedCalls("p1")).isZero();
        assertThat(executedCalls("p2")).isEqualTo(4);
    }

    @Test
    public void callIsRejectedWhenNoServerExecutesIt() {
        fleet().backendServer("p1").injectFault(Fault.OVERLOADED);
        fleet().backendServer("p2").injectFault(Fault.OVERLOADED);
        assertThat(call("/unsafe/a", "x").status()).isEqualTo(UNAVAILABLE);
        assertThat(executedCalls("p1") + executedCalls("p2")).isZero();
    }

    @Test
    public void safeCallIsRetriedOnAnotherServer() {
        fleet().backendServer("p1").injectFault(Fault.INTERNAL_ERROR);
        for (int i = 0; i < 4; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
    }

    @Test
    public void lastServerErrorIsReturnedToTheCaller() {
        fleet().backendServer("p1").injectFault(Fault.INTERNAL_ERROR);
        fleet().backendServer("p2").injectFault(Fault.INTERNAL_ERROR);
        assertThat(call("/safe/a", "x").body()).isEqualTo("failed");
    }

    @Test
    public void responseToAnotherRequestIsDiscarded() {
        fleet().backendServer("p1").injectFault(Fault.MISMATCHED_RESPONSE);
        fleet().backendServer("p2").injectFault(Fault.MISMATCHED_RESPONSE);
        for (int i = 0; i < 3; i++) {
            assertThat(call("/unsafe/a", "x" + i).body()).isEqualTo("done x" + i);
        }
    }

    @Test
    public void truncatedResponseIsNotForwarded() {
        fleet().backendServer("p1").injectFault(Fault.TRUNCATED_RESPONSE);
        fleet().backendServer("p2").injectFault(Fault.TRUNCATED_RESPONSE);
        assertThat(call("/unsafe/a", "x").status()).isEqualTo(BAD_GATEWAY);
    }

    @Test
    public void resumableStreamContinuesOnAnotherServer() {
        fleet().backendServer("e1").injectFault(Fault.TRUNCATED_RESPONSE);
        for (int i = 0; i < 4; i++) {
            assertCompleteStream(stream("/resume/a", "m1"));
        }
    }

    @Test
    public void truncationOfNonResumableStreamIsVisibleToTheCaller() {
        fleet().backendServer("e1").injectFault(Fault.TRUNCATED_RESPONSE);
        fleet().backendServer("e2").injectFault(Fault.TRUNCATED_RESPONSE);
        assertThatThrownBy(() -> stream("/stream/a", "m1"))
                .isInstanceOf(IllegalStateException.class);
        assertThat(executedCalls("e1") + executedCalls("e2")).isEqualTo(1);
    }

    @Test
    public void pausedStreamIsNotTruncated() {
        // The pauses exceed the limit after which a stream is sent to another engine, 5 times
        // TargetGapMs, but no other engine holds m2.
        fleet().backendServer("e1").configureStream(EVENTS, 1_300);
        assertCompleteStream(stream("/resume/a", "m2"));
        assertThat(executedCalls("e1")).isEqualTo(1);
    }

    @Test
    public void drainingServerReceivesNoNewCalls() {
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "draining", 2);
        ProcessFleet.await(
                "drain",
                () -> {
                    long before = executedCalls("p1");
                    for (int i = 0; i < 6; i++) {
                        call("/safe/a", "x");
                    }
                    return executedCalls("p1") == before;
                });
        long before = executedCalls("p1");
        for (int i = 0; i < 10; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(executedCalls("p1")).isEqualTo(before);
    }

    @Test
    public void olderAnnouncementDoesNotEndDrain() {
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "draining", 5);
        ProcessFleet.await(
                "drain",
                () -> {
                    long before = executedCalls("p1");
                    for (int i = 0; i < 6; i++) {
                        call("/safe/a", "x");
                    }
                    return executedCalls("p1") == before;
                });
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "ready", 4);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "draining", 5);
        ProcessFleet.await(
                "no server to accept calls", () -> call("/safe/a", "x").status() == UNAVAILABLE);
    }

    @Test
    public void addedRouteTakesEffect() {
        fleet().configure(
                        routes ->
                                DirectFleet.addRoute(
                                        routes, "/added/", "safe", DirectFleet.PLAIN_SERVICE, 2));
        ProcessFleet.await("new route", () -> call("/added/a", "x").status() == OK);
    }

    @Test
    public void remainingDeadlineIsSentToTheServer() {
        call("/safe/a", "x");
        long remainingMillis =
                Long.parseLong(
                        java.util.stream.Stream.of("p1", "p2")
                                .flatMap(id -> fleet().backendServer(id).receivedCalls().stream())
                                .findFirst()
                                .orElseThrow()
                                .header("x-deadline-ms"));
        assertThat(remainingMillis).isBetween(1L, 5_000L);
    }

    @Test
    public void drainingEntryServesCallsAndThenExits() {
        fleet().backendServer("e1").configureStream(EVENTS, 300);
        fleet().backendServer("e2").configureStream(EVENTS, 300);
        CompletableFuture<Response> stream =
                fleet().http()
                        .send(
                                "POST",
                                fleet().frontPort(0),
                                "/stream/a",
                                "p",
                                headers(newRequestId(), "m1"));
        ProcessFleet.await("stream", () -> executedCalls("e1") + executedCalls("e2") == 1);
        fleet().signal(0, "TERM");
        ProcessFleet.await("drain", () -> !fleet().http().isOk(fleet().readyPort(0), "/ready"));
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        assertCompleteStream(stream.join());
        // 128 plus 15, the number of SIGTERM.
        assertThat(fleet().entryProcess(0).onExit().join().exitValue()).isEqualTo(143);
    }

    @Test
    public void idleConnectionIsClosedWhileTheDrainWaitsForStreams() throws IOException {
        fleet().backendServer("e1").configureStream(EVENTS, 1_300);
        CompletableFuture<Response> stream =
                fleet().http()
                        .send(
                                "POST",
                                fleet().frontPort(0),
                                "/stream/a",
                                "p",
                                headers(newRequestId(), "m2"));
        ProcessFleet.await("stream", () -> executedCalls("e1") == 1);
        try (Socket idle = new Socket("127.0.0.1", fleet().frontPort(0))) {
            fleet().signal(0, "TERM");
            idle.setSoTimeout(20_000);
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            assertThat(stream).isNotDone();
        }
        assertCompleteStream(stream.join());
    }

    @Test
    public void waitingCallIsRefusedBeforeTheProcessEnds() {
        fleet().backendServer("e1").injectFault(Fault.OVERLOADED);
        CompletableFuture<Response> waiting =
                fleet().http()
                        .send(
                                "POST",
                                fleet().frontPort(0),
                                "/stream/a",
                                "p",
                                headers(newRequestId(), "m2/a1"));
        fleet().backendServer("e2").injectFault(Fault.NO_RESPONSE);
        CompletableFuture<Response> plainCall =
                fleet().http()
                        .send(
                                "POST",
                                fleet().frontPort(0),
                                "/safe/a",
                                "p",
                                headers(newRequestId(), ""));
        assertThat(plainCall.join().status()).isEqualTo(OK);
        fleet().signal(0, "TERM");
        assertThat(waiting.join().status()).isEqualTo(UNAVAILABLE);
        assertThat(executedCalls("e1")).isZero();
    }

    @Test
    public void callWithoutResponseIsAnsweredBeforeTheProcessEnds() {
        fleet().backendServer("e1").injectFault(Fault.NO_RESPONSE);
        fleet().backendServer("e2").injectFault(Fault.NO_RESPONSE);
        CompletableFuture<Response> unanswered =
                fleet().http()
                        .send(
                                "POST",
                                fleet().frontPort(0),
                                "/stream/a",
                                "p",
                                headers(newRequestId(), "m1"));
        ProcessFleet.await("send", () -> executedCalls("e1") + executedCalls("e2") == 1);
        fleet().signal(0, "TERM");
        assertThat(unanswered.join().status()).isEqualTo(BAD_GATEWAY);
    }

    @Test
    public void hangUpSignalDoesNotEndTheProcess() {
        fleet().signal(0, "HUP");
        for (int i = 0; i < 5; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
    }
}

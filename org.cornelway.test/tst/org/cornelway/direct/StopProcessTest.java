package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.platform.Fault;
import org.cornelway.standin.platform.ReceivedCall;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no call is lost in a planned stop of an entry, whenever it arrives. */
public class StopProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;

    /** Time from SIGTERM to SIGKILL. */
    private static final int GRACE_SECONDS = 8;

    /** Exit status of a process that SIGTERM has ended: 128 plus 15, the number of the signal. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int CALLERS_OF_A_KIND = 8;
    private static final List<String> SERVERS = List.of("p1", "p2", "e1", "e2");

    /** Time for which callers call before the signal. */
    private static final long RUN_IN_MILLIS = 1_000;

    /** Time after the signal at which an entry has stopped accepting calls. */
    private static final long ACCEPTING_OVER_MILLIS = 3_500;

    /** Response time for which a call sent before the signal ends after accepting has stopped. */
    private static final long LATE_RESPONSE_MILLIS = 5_000;

    private static final int LARGE_BODY_BYTES = 1_000_000;

    /** Number of large responses that are more than the buffers of a connection hold. */
    private static final int LARGE_CALLS = 8;

    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    @DataProvider
    public Object[][] responseDelays() {
        return new Object[][] {{0}, {300}, {1_500}, {4_000}};
    }

    @Test(dataProvider = "responseDelays")
    public void callsThatArriveDuringStopAreAnsweredOrNotSent(int responseDelayMillis)
            throws InterruptedException {
        SERVERS.forEach(id -> fleet().backendServer(id).delayResponses(responseDelayMillis));
        assertNoneLost(callThroughStop("/unsafe/a", ""));
    }

    @Test
    public void callsToSilentServersAreAnsweredBeforeTheProcessEnds() throws InterruptedException {
        SERVERS.forEach(id -> fleet().backendServer(id).injectFault(Fault.NO_RESPONSE));
        assertNoneLost(callThroughStop("/stream/a", "X-Model: m1\r\n"));
        assertThat(fleet().entryProcess(0).waitFor()).isEqualTo(SIGTERM_EXIT_STATUS);
    }

    @Test
    public void callThatDidNotRunIsNotSentAgainAfterAcceptingHasStopped() throws IOException {
        SERVERS.forEach(id -> fleet().backendServer(id).injectFault(Fault.OVERLOADED));
        SERVERS.forEach(id -> fleet().backendServer(id).delayResponses(LATE_RESPONSE_MILLIS));
        try (RawCall call = newCall()) {
            call.sendHead("/stream/a", newRequestId(), "X-Model: m1\r\nContent-Length: 0\r\n");
            ProcessFleet.await("a send", () -> receivedIds().size() == 1);
            fleet().signal(0, "TERM");
            assertThat(call.readResponse()).hasValueSatisfying(StopProcessTest::assertUnavailable);
        }
        assertThat(receivedCount()).isEqualTo(1);
    }

    @Test
    public void responsesThatSlowCallerHasNotReadAreNotCutInStop()
            throws IOException, InterruptedException {
        try (RawCall caller =
                new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS, RECEIVE_BUFFER_BYTES)) {
            for (int i = 0; i < LARGE_CALLS; i++) {
                String length = "Content-Length: " + LARGE_BODY_BYTES + "\r\n";
                caller.sendHead("/unsafe/a", newRequestId(), length);
                caller.send("x".repeat(LARGE_BODY_BYTES));
            }
            ProcessFleet.await("the calls", () -> receivedCount() == LARGE_CALLS);
            fleet().signal(0, "TERM");
            Thread.sleep(ACCEPTING_OVER_MILLIS);
            for (int i = 0; i < LARGE_CALLS; i++) {
                assertThat(caller.readResponse()).as("response " + i).isPresent();
            }
        }
    }

    @Test
    public void requestThatWaitsBehindAnotherIsAnsweredInStop() throws IOException {
        SERVERS.forEach(id -> fleet().backendServer(id).delayResponses(RUN_IN_MILLIS));
        try (RawCall caller = newCall()) {
            fleet().signal(0, "TERM");
            ProcessFleet.await("drain", () -> !fleet().http().isOk(fleet().readyPort(0), "/ready"));
            caller.sendHead("/unsafe/a", newRequestId(), "Content-Length: 0\r\n");
            caller.sendHead("/unsafe/a", newRequestId(), "Content-Length: 0\r\n");
            assertThat(caller.readResponse()).isPresent();
            assertThat(caller.readResponse()).isPresent();
        }
    }

    @Test
    public void requestWhoseBodyArrivesAfterAcceptingHasStoppedIsRefused()
            throws IOException, InterruptedException {
        try (RawCall caller = newCall()) {
            caller.sendHead("/unsafe/a", newRequestId(), "Content-Length: 2\r\n");
            caller.send("x");
            fleet().signal(0, "TERM");
            Thread.sleep(ACCEPTING_OVER_MILLIS);
            caller.send("x");
            assertThat(caller.readResponse())
                    .hasValueSatisfying(StopProcessTest::assertUnavailable);
        }
        assertThat(receivedCount()).isZero();
    }

    private RawCall newCall() throws IOException {
        return new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS);
    }

    private static void assertUnavailable(String response) {
        assertThat(response).startsWith("HTTP/1.1 " + UNAVAILABLE);
    }

    /** Calls from several callers until the entry has ended after SIGTERM; returns the calls. */
    private List<StopCaller.Call> callThroughStop(String path, String headers)
            throws InterruptedException {
        List<CompletableFuture<List<StopCaller.Call>>> callers = new ArrayList<>();
        for (StopCaller.Connections connections : StopCaller.Connections.values()) {
            for (int i = 0; i < CALLERS_OF_A_KIND; i++) {
                callers.add(newCaller(path, headers, connections).start());
            }
        }
        Thread.sleep(RUN_IN_MILLIS);
        fleet().signal(0, "TERM");
        // SIGKILL follows when the grace period of the fleet has passed.
        if (!fleet().entryProcess(0).waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            fleet().signal(0, "KILL");
        }
        List<StopCaller.Call> calls = new ArrayList<>();
        callers.forEach(caller -> calls.addAll(caller.join()));
        return calls;
    }

    private StopCaller newCaller(String path, String headers, StopCaller.Connections connections) {
        return new StopCaller(
                fleet().frontPort(0),
                path,
                headers,
                connections,
                () -> !fleet().entryProcess(0).isAlive());
    }

    private int receivedCount() {
        return SERVERS.stream()
                .mapToInt(id -> fleet().backendServer(id).receivedCalls().size())
                .sum();
    }

    /** Returns the ids of the calls that servers received. */
    private Set<String> receivedIds() {
        return idsOf(call -> true);
    }

    private Set<String> idsOf(Predicate<ReceivedCall> filter) {
        return SERVERS.stream()
                .flatMap(id -> fleet().backendServer(id).receivedCalls().stream())
                .filter(filter)
                .map(call -> call.header("x-request-id"))
                .collect(Collectors.toSet());
    }

    /**
     * Asserts that each call that reached a server has a response, and that no call that ran is
     * said not to have run.
     */
    private void assertNoneLost(List<StopCaller.Call> calls) {
        Set<String> received = receivedIds();
        Set<String> executed = idsOf(ReceivedCall::executed);
        assertThat(executed).isNotEmpty();
        assertThat(calls)
                .filteredOn(call -> received.contains(call.requestId()))
                .allMatch(call -> call.response().isPresent());
        assertThat(calls)
                .filteredOn(call -> executed.contains(call.requestId()))
                .noneMatch(call -> call.status() == UNAVAILABLE);
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.BackendServerStandin;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests that servers get no calls after they have said in an answer that they want none. */
public class ServerNoticesProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;
    private static final int CALLS = 10;
    private static final String LEAVING = "Server-Leaving: 1\r\n";

    private BackendServerStandin server(String id) {
        return fleet().backendServer(id);
    }

    private long receivedCalls(String id) {
        return server(id).receivedCalls().size();
    }

    /** Sends calls until one has reached the server. */
    private void awaitCallAt(String id) {
        ProcessFleet.await(
                "call at " + id,
                () -> {
                    call("/safe/a", "x");
                    return receivedCalls(id) > 0;
                });
    }

    /** Guards against calls to a server that has said only in its answers that it is leaving. */
    @Test
    public void serverThatSaysItLeavesGetsNoCalls() {
        server("p1").addToResponses(LEAVING);
        server("p2").addToResponses("Server-Leaving: 0\r\n");
        for (int i = 0; i < CALLS; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(receivedCalls("p1")).isEqualTo(1);
        assertThat(receivedCalls("p2")).isEqualTo(CALLS - 1);
    }

    @Test
    public void refusalAndErrorTellOfLeavingToo() {
        for (Fault fault : List.of(Fault.OVERLOADED, Fault.INTERNAL_ERROR)) {
            server("p1").injectFault(fault);
            server("p1").addToResponses(LEAVING);
            long before = receivedCalls("p1");
            for (int i = 0; i < CALLS; i++) {
                call("/safe/a", "x");
            }
            assertThat(receivedCalls("p1") - before).isLessThanOrEqualTo(1);
            server("p1").restart();
            fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "ready", 2);
        }
    }

    @Test
    public void engineThatSaysItLeavesInStreamGetsNoCalls() {
        server("e1").addToResponses(LEAVING);
        server("e2").addToResponses("Server-Leaving: yes\r\n");
        for (int i = 0; i < CALLS; i++) {
            assertCompleteStream(stream("/resume/a", "m1"));
        }
        assertThat(receivedCalls("e1")).isLessThanOrEqualTo(1);
    }

    @Test
    public void restartedServerGetsCallsAgain() {
        server("p1").addToResponses(LEAVING);
        awaitCallAt("p1");
        server("p1").restart();
        server("p1").injectFault(Fault.NONE);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "ready", 2);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "draining", 2);
        long before = receivedCalls("p1");
        ProcessFleet.await(
                "call at the new incarnation",
                () -> call("/safe/a", "x").status() == OK && receivedCalls("p1") > before + 1);
    }

    /** Guards against calls to a server that has asked for none for a while. */
    @Test
    public void serverThatWantsNoCallsGetsNoneUntilTheTimeIsOver() {
        server("p1").injectFault(Fault.OVERLOADED);
        server("p1").addToResponses("Retry-After: 1.5\r\n");
        awaitCallAt("p1");
        long refused = System.nanoTime();
        server("p1").injectFault(Fault.NONE);
        server("p1").addToResponses("");
        long before = receivedCalls("p1");
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "draining", 2);
        ProcessFleet.await(
                "call at the server that wanted none",
                () -> call("/safe/a", "x").status() == OK && receivedCalls("p1") > before);
        // The time began with the answer, which arrived before it was seen here.
        assertThat(System.nanoTime() - refused).isGreaterThan(1_000_000_000L);
    }

    /** Guards against callers that are left waiting or sent on although no server takes calls. */
    @Test
    public void callerIsToldAtOnceWhenToComeBackIfNoServerWantsCalls() {
        for (String id : List.of("p1", "p2")) {
            server(id).injectFault(Fault.OVERLOADED);
            server(id).addToResponses("Retry-After: 3\r\n");
        }
        Response response = call("/unsafe/a", "x");
        assertThat(response.status()).as(response.body()).isEqualTo(UNAVAILABLE);
        long before = receivedCalls("p1") + receivedCalls("p2");
        assertThat(before).isEqualTo(2);
        for (int i = 0; i < CALLS; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(UNAVAILABLE);
        }
        assertThat(receivedCalls("p1") + receivedCalls("p2")).isEqualTo(before);
    }
}

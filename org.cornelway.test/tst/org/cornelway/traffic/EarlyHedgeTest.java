package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.route.Route;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests calls that are sent to a second server to meet their objective. The clock of the entry
 * advances only when the test says so.
 */
public class EarlyHedgeTest extends HedgeTestBase {
    private static final String ID = "call-1";
    private static final long OBJECTIVE_MILLIS = 200;

    /** Shorter than the silence after which a server counts as silent. */
    private static final long WAITED_MILLIS = 180;

    /** Calls after which the usual time is known. */
    private static final int USUAL_CALLS = 20;

    private static final Script ANSWER =
            new Script(List.of(new Part(0, answer("200 OK", ID, "a"))), false);
    private static final Script SILENCE = new Script(List.of(), false);

    private final AtomicLong mNow = new AtomicLong(1_000_000);

    @Override
    Clock newClock() {
        return mNow::get;
    }

    @Override
    SlidingWindowRetryBudget newBudget(Clock clock) {
        return new SlidingWindowRetryBudget(clock, 60_000, 0, 10);
    }

    @BeforeMethod(dependsOnMethods = "start")
    public void makeCalls() throws IOException {
        publish(
                configuration(2, TIMEOUT_MILLIS, SERVICE).map(EarlyHedgeTest::withObjective),
                Map.of("s1", firstRecord(), "s2", secondRecord(SERVICE)));
        first().setScripts(head -> first().arrivals() == USUAL_CALLS + 1 ? SILENCE : ANSWER);
        second().setScripts(head -> ANSWER);
        for (int i = 0; i < USUAL_CALLS; i++) {
            assertThat(call(SAFE_PATH)).contains("200 OK");
        }
    }

    private static RoutingConfiguration withObjective(RoutingConfiguration configuration) {
        List<Route> routes =
                configuration.routes().stream()
                        .map(
                                route ->
                                        new Route(
                                                route.name(),
                                                route.host(),
                                                route.prefix(),
                                                route.kind(),
                                                route.timeoutMillis(),
                                                OBJECTIVE_MILLIS,
                                                route.priority(),
                                                route.services(),
                                                route.maxAttempts(),
                                                route.sticky(),
                                                route.resumable(),
                                                route.targetGapMillis(),
                                                route.isPublic()))
                        .toList();
        return new RoutingConfiguration(
                configuration.version(),
                routes,
                configuration.services(),
                configuration.limits(),
                configuration.customers());
    }

    /** Sends a call that the first server does not answer, and lets time pass. */
    private Socket sendUnanswered(String path) throws Exception {
        Socket socket = send(path, ID);
        while (first().arrivals() <= USUAL_CALLS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        mNow.addAndGet(WAITED_MILLIS);
        return socket;
    }

    /** Guards against a server that is avoided as if it had failed, since it was slow once. */
    @Test
    public void safeCallIsHedgedBeforeItsObjectiveAndServerStaysInUse() throws Exception {
        try (Socket socket = sendUnanswered(SAFE_PATH)) {
            assertThat(readAll(socket)).contains("200 OK");
        }
        assertThat(second().arrivals()).isEqualTo(1);
        assertThat(call(SAFE_PATH)).contains("200 OK");
        assertThat(first().arrivals()).isEqualTo(USUAL_CALLS + 2);
    }

    /** Guards against a call that runs twice although it is not idempotent. */
    @Test
    public void unsafeCallIsNotHedged() throws Exception {
        try (Socket socket = sendUnanswered(UNSAFE_PATH)) {
            long sweeps = traffic().frontServer().sweepCount();
            while (traffic().frontServer().sweepCount() < sweeps + 5) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
        assertThat(second().arrivals()).isZero();
    }
}

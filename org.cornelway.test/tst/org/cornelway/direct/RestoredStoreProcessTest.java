package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.cornelway.standin.platform.StoreState;
import org.testng.annotations.Test;

/** Tests that entries follow a key-value service that comes back from an older copy. */
public class RestoredStoreProcessTest extends DirectTestBase {
    private static final int NOT_FOUND = 404;

    /** Writes after the copy, so that revisions go back far. */
    private static final int LOST_WRITES = 50;

    private static final long OUTAGE_MILLIS = 1_000;

    /** Time from the acknowledgement of a configuration until it is in force. */
    private static final long APPLY_MILLIS = 2_000;

    /** Time from the announcement of a drain until no call may reach the server any more. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final int CALLS = 20;

    @Override
    int entryCount() {
        return 2;
    }

    private static DirectFleet.RouteChange added(String prefix) {
        return (ArrayNode routes) ->
                DirectFleet.addRoute(routes, prefix, "safe", DirectFleet.PLAIN_SERVICE, 2);
    }

    private Response call(int entry, String path) {
        return fleet().http()
                .call("POST", fleet().frontPort(entry), path, "x", headers(newRequestId(), ""));
    }

    private List<Integer> statuses(String path) {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < entryCount(); i++) {
            statuses.add(call(i, path).status());
        }
        return statuses;
    }

    /** Writes many announcements, as servers do; returns when entries have read the last ones. */
    private void writeOften() throws InterruptedException {
        for (int i = 0; i < LOST_WRITES; i++) {
            fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "ready", 100 + i);
            fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "ready", 100 + i);
        }
        Thread.sleep(APPLY_MILLIS);
    }

    /** Takes the service away for a moment and lets it come back from a copy. */
    private void restore(StoreState copy) throws InterruptedException {
        fleet().store().injectFault(Fault.UNAVAILABLE);
        Thread.sleep(OUTAGE_MILLIS);
        fleet().store().restore(copy);
        fleet().store().injectFault(Fault.NONE);
    }

    private void awaitRoute(String path) {
        ProcessFleet.await(path, () -> statuses(path).equals(List.of(OK, OK)));
    }

    @Test
    public void configurationWrittenAfterTheRestoreIsInForceInTime() throws InterruptedException {
        StoreState copy = fleet().store().copy();
        writeOften();
        fleet().configure(added("/before/"));
        awaitRoute("/before/a");
        restore(copy);
        fleet().configure(added("/before/"), added("/after/"));
        Thread.sleep(APPLY_MILLIS);
        assertThat(statuses("/after/a")).containsOnly(OK);
    }

    @Test
    public void configurationInForceDoesNotGoBackToThatOfTheCopy() throws InterruptedException {
        StoreState copy = fleet().store().copy();
        writeOften();
        fleet().configure(added("/before/"));
        awaitRoute("/before/a");
        restore(copy);
        for (int i = 0; i < CALLS; i++) {
            assertThat(statuses("/before/a")).containsOnly(OK);
            Thread.sleep(APPLY_MILLIS / CALLS);
        }
        fleet().signal(1, "KILL");
        fleet().entryProcess(1).onExit().join();
        fleet().startEntry(1);
        fleet().awaitReady(1);
        ProcessFleet.await(
                "a new process hears the newer configuration from its peer",
                () -> call(1, "/before/a").status() == OK);
    }

    @Test
    public void serverThatDrainsAfterTheRestoreGetsNoCalls() throws InterruptedException {
        StoreState copy = fleet().store().copy();
        writeOften();
        restore(copy);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "ready", 1_000);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "draining", 1_000);
        Thread.sleep(DRAIN_MILLIS);
        assertGetsNoCalls("p1");
    }

    private void assertGetsNoCalls(String server) {
        long before = executedCalls(server);
        for (int i = 0; i < CALLS; i++) {
            assertThat(statuses("/safe/a")).containsOnly(OK);
        }
        assertThat(executedCalls(server)).isEqualTo(before);
    }

    @Test
    public void serverThatLeftBeforeTheRestoreGetsNoCallsAgain() throws InterruptedException {
        StoreState copy = fleet().store().copy();
        writeOften();
        fleet().store()
                .withState(
                        state -> {
                            state.remove("servers/p1");
                            return true;
                        });
        ProcessFleet.await("no calls at p1", () -> isIdle("p1"));
        restore(copy);
        Thread.sleep(DRAIN_MILLIS);
        assertGetsNoCalls("p1");
    }

    private boolean isIdle(String server) {
        long before = executedCalls(server);
        for (int i = 0; i < CALLS; i++) {
            statuses("/safe/a");
        }
        return executedCalls(server) == before;
    }

    @Test
    public void modelsAreLoadedAfterTheRestore() throws InterruptedException {
        ProcessFleet.await("m1 served", () -> stream("/resume/a", "m1").status() == OK);
        StoreState copy = fleet().store().copy();
        writeOften();
        for (int i = 0; i < entryCount(); i++) {
            fleet().signal(i, "KILL");
            fleet().entryProcess(i).onExit().join();
            fleet().startEntry(i);
        }
        for (int i = 0; i < entryCount(); i++) {
            fleet().awaitReady(i);
        }
        ProcessFleet.await("m3 served", () -> stream("/resume/a", "m3").status() == OK);
        skipLeaseIds(copy);
        restore(copy);
        announceAll();
        ProcessFleet.await(
                "a model is loaded under a new term",
                () -> stream("/resume/a", "m2").status() == OK);
        assertThat(call(0, "/missing/a").status()).isEqualTo(NOT_FOUND);
    }

    /** Keeps the ids of lost leases from being given out again. */
    private static void skipLeaseIds(StoreState copy) {
        for (int i = 0; i < LOST_WRITES; i++) {
            copy.revokeLease(copy.grantLease(1));
        }
    }

    private void announceAll() {
        for (String id : List.of("p1", "p2")) {
            fleet().announce(DirectFleet.PLAIN_SERVICE, id, "ready", 2_000);
        }
        for (String id : List.of("e1", "e2")) {
            fleet().announce(DirectFleet.ENGINE_SERVICE, id, "ready", 2_000);
        }
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.OrderTurns;
import org.cornelway.config.Json;
import org.cornelway.standin.platform.ReceivedOrder;
import org.cornelway.standin.platform.StoreState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that no two entries take turns in giving orders to an engine, while callers ask for one
 * adapter after the other.
 */
public class ControllerTurnsProcessTest extends DirectTestBase {
    private static final int ADAPTERS = 20;
    private static final int CALLERS = 3;

    /** Longer than a stop and a start of an entry. */
    private static final long REELECTION_MILLIS = 8_000;

    /** Time in which each controller gives orders. */
    private static final long TERM_MILLIS = 2_000;

    /** Time for which the service rejects a controller; its lease ends after 2 s. */
    private static final long REJECTED_MILLIS = 2_500;

    /** Time between the end of the rejection and the stop of the successor. */
    private static final long UNTIL_STOP_MILLIS = 400;

    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mCalls = new AtomicInteger();
    private final List<Thread> mCallers = new ArrayList<>();

    @Override
    int entryCount() {
        return 3;
    }

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.setAdaptersPerModel(ADAPTERS);
        fleet.configure();
        fleet.setProcessorCores(0, 2);
        fleet.setReelection(REELECTION_MILLIS);
    }

    /** Starts the entry with the most processor time first, so that it becomes the controller. */
    @Override
    void startEntries(DirectFleet fleet) {
        fleet.startEntry(0);
        ProcessFleet.await("the first entry is the controller", () -> controller(fleet) == 0);
        for (int i = 1; i < entryCount(); i++) {
            fleet.startEntry(i);
        }
        for (int i = 0; i < entryCount(); i++) {
            fleet.awaitReady(i);
        }
    }

    @BeforeMethod
    public void startCallers() throws InterruptedException {
        mStopped.set(false);
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(this::askForAdapters, "caller " + i);
            caller.start();
            mCallers.add(caller);
        }
        TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopCallers() throws InterruptedException {
        mStopped.set(true);
        for (Thread caller : mCallers) {
            caller.join();
        }
        mCallers.clear();
    }

    private void askForAdapters() {
        while (!mStopped.get()) {
            int call = mCalls.incrementAndGet();
            String adapter = "m1/a" + (1 + call % ADAPTERS);
            try {
                fleet().http()
                        .call(
                                "POST",
                                fleet().frontPort(call % entryCount()),
                                "/resume/a",
                                "p",
                                headers(newRequestId(), adapter));
            } catch (RuntimeException e) {
                // The entry has been stopped.
                pause();
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the index of the entry that is the controller, or -1 if there is none. */
    private int controller(DirectFleet fleet) {
        Optional<byte[]> value =
                fleet.store()
                        .withState(state -> state.get(ClusterKeys.CONTROLLER))
                        .map(StoreState.Item::value);
        String id =
                value.flatMap(bytes -> Json.read(bytes, ClusterMember.class))
                        .map(ClusterMember::id)
                        .orElse("");
        for (int i = 0; i < entryCount(); i++) {
            if (id.equals(DirectFleet.instanceId(i))) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index of the entry that has become the controller in place of another one. */
    private int awaitSuccessorOf(int entry) {
        ProcessFleet.await(
                "a successor of entry " + entry,
                () -> controller(fleet()) >= 0 && controller(fleet()) != entry);
        return controller(fleet());
    }

    private void assertNoTurns() {
        for (String engine : List.of("e1", "e2")) {
            OrderTurns turns = new OrderTurns(REELECTION_MILLIS);
            List<String> found = new ArrayList<>();
            for (ReceivedOrder order : fleet().backendServer(engine).receivedOrders()) {
                turns.record(order.holder(), TimeUnit.NANOSECONDS.toMillis(order.receivedNanos()))
                        .ifPresent(found::add);
            }
            assertThat(found).as(engine).isEmpty();
        }
    }

    /** Asserts that an engine has received orders from an entry. */
    private void assertOrdered(int entry) {
        String holder = DirectFleet.instanceId(entry);
        assertThat(fleet().backendServer("e1").receivedOrders())
                .as("orders of %s", holder)
                .anyMatch(order -> order.holder().equals(holder));
    }

    /**
     * Guards against a controller that the service has rejected for a while and that gives orders
     * again just after its successor was stopped as planned.
     */
    @Test
    public void rejectedControllerDoesNotFollowItsStoppedSuccessorAtOnce()
            throws InterruptedException {
        fleet().store().reject(DirectFleet.instanceId(0));
        TimeUnit.MILLISECONDS.sleep(REJECTED_MILLIS);
        fleet().store().admit(DirectFleet.instanceId(0));
        int successor = awaitSuccessorOf(0);
        TimeUnit.MILLISECONDS.sleep(UNTIL_STOP_MILLIS);
        assertOrdered(successor);
        fleet().signal(successor, "TERM");
        int next = awaitSuccessorOf(successor);
        TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
        assertNoTurns();
        assertOrdered(next);
    }

    /**
     * Guards against a controller that was stopped as planned and started again, and that gives
     * orders just after its successor was stopped too: the new process does not remember the orders
     * of its instance.
     */
    @Test
    public void restartedControllerDoesNotFollowItsStoppedSuccessorAtOnce()
            throws InterruptedException {
        fleet().signal(0, "TERM");
        int successor = awaitSuccessorOf(0);
        fleet().entryProcess(0).onExit().join();
        fleet().startEntry(0);
        fleet().awaitReady(0);
        TimeUnit.MILLISECONDS.sleep(UNTIL_STOP_MILLIS);
        assertOrdered(successor);
        fleet().signal(successor, "TERM");
        int next = awaitSuccessorOf(successor);
        TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
        assertNoTurns();
        assertOrdered(next);
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
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

/**
 * Base class of the tests that no two entries take turns in giving orders to an engine, while
 * callers ask for one adapter after the other. The first entry has the most processor time and
 * begins as the controller.
 */
abstract class ControllerTurnsTestBase extends DirectTestBase {
    private static final int ADAPTERS = 20;
    private static final int CALLERS = 3;

    static final List<String> ENGINES = List.of("e1", "e2");

    /** Time in which each controller gives orders. */
    static final long TERM_MILLIS = 2_000;

    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mCalls = new AtomicInteger();
    private final List<Thread> mCallers = new ArrayList<>();

    /** Returns the bound on the re-election that the entries are given. */
    abstract long reelectionMillis();

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.setAdaptersPerModel(ADAPTERS);
        fleet.configure();
        fleet.setProcessorCores(0, 2);
        fleet.setReelection(reelectionMillis());
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
    final int controller(DirectFleet fleet) {
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
    final int awaitSuccessorOf(int entry) {
        ProcessFleet.await(
                "a successor of entry " + entry,
                () -> controller(fleet()) >= 0 && controller(fleet()) != entry);
        return controller(fleet());
    }

    /** Asserts that no entry has taken a turn within the bound at any engine. */
    final void assertNoTurns() {
        assertNoTurns("", order -> true);
    }

    /**
     * Asserts the same of the orders that count.
     *
     * @param what describes the run
     */
    final void assertNoTurns(String what, Predicate<ReceivedOrder> counts) {
        for (String engine : ENGINES) {
            List<ReceivedOrder> orders = fleet().backendServer(engine).receivedOrders();
            assertThat(OrderTurns.find(orders.stream().filter(counts).toList(), reelectionMillis()))
                    .as(what + " " + engine)
                    .isEmpty();
        }
    }

    /** Asserts that an engine has received orders from an entry. */
    final void assertOrdered(int entry) {
        String holder = DirectFleet.instanceId(entry);
        assertThat(fleet().backendServer("e1").receivedOrders())
                .as("orders of %s", holder)
                .anyMatch(order -> order.holder().equals(holder));
    }
}

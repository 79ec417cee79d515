package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.cluster.OrderTurns;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.cornelway.standin.platform.ReceivedOrder;
import org.cornelway.standin.platform.StoreState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Restores the key-value service from copies of random age beside kills, freezes and changes of the
 * configuration, and checks after each of them that entries follow it and take no turns.
 *
 * <p>More seeds are played by hand: {@code -Dcornelway.soak.seeds=FIRST-LAST}.
 */
public class RestoredStoreSoakTest extends DirectTestBase {
    private static final int ROUNDS = 6;
    private static final int MAX_COPIES = 9;
    private static final long COPY_INTERVAL_MILLIS = 1_000;
    private static final long MAX_OUTAGE_MILLIS = 2_500;
    private static final long MAX_FREEZE_MILLIS = 3_000;

    /** Time without disruption from which the users' bounds hold. */
    private static final long STABLE_MILLIS = 3_000;

    /** Time from the acknowledgement of a configuration until it is in force. */
    private static final long APPLY_MILLIS = 2_000;

    /** Announcements of each server that are lost, so that revisions go back far. */
    private static final int LOST_ANNOUNCEMENTS = 60;

    private static final List<String> MODELS = List.of("m1", "m2", "m3");
    private static final Map<String, String> SERVERS =
            Map.of(
                    "p1", DirectFleet.PLAIN_SERVICE,
                    "p2", DirectFleet.PLAIN_SERVICE,
                    "e1", DirectFleet.ENGINE_SERVICE,
                    "e2", DirectFleet.ENGINE_SERVICE);

    private final Deque<StoreState> mCopies = new ArrayDeque<>();
    private long mHeartbeats;
    private int mRoutes;

    @Override
    int entryCount() {
        return 3;
    }

    @DataProvider
    public Object[][] seeds() {
        return SoakSeeds.provide("1-2");
    }

    private Response call(int entry, String path, String model) {
        return fleet().http()
                .call("POST", fleet().frontPort(entry), path, "x", headers(newRequestId(), model));
    }

    private void announceServers() {
        mHeartbeats++;
        SERVERS.forEach((id, service) -> fleet().announce(service, id, "ready", mHeartbeats));
    }

    /** Writes a configuration with all routes that were added so far, as an operator does. */
    private void writeConfiguration() {
        DirectFleet.RouteChange[] changes = new DirectFleet.RouteChange[mRoutes];
        for (int i = 0; i < mRoutes; i++) {
            String prefix = "/added" + i + "/";
            changes[i] =
                    routes ->
                            DirectFleet.addRoute(
                                    routes, prefix, "safe", DirectFleet.PLAIN_SERVICE, 2);
        }
        fleet().configure(changes);
    }

    private void addRoute() {
        mRoutes++;
        writeConfiguration();
    }

    /** Lets time pass in which copies are taken and servers announce themselves. */
    private void pass(long millis) throws InterruptedException {
        for (long left = millis; left > 0; left -= COPY_INTERVAL_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(Math.min(left, COPY_INTERVAL_MILLIS));
            announceServers();
            mCopies.addLast(fleet().store().copy());
            if (mCopies.size() > MAX_COPIES) {
                mCopies.removeFirst();
            }
        }
    }

    /** Writes much, and a configuration last, and leaves entries time to read it. */
    private void writeWhatWillBeLost() throws InterruptedException {
        for (int i = 0; i < LOST_ANNOUNCEMENTS; i++) {
            announceServers();
        }
        addRoute();
        TimeUnit.MILLISECONDS.sleep(APPLY_MILLIS);
    }

    private void restore(Random random) throws InterruptedException {
        StoreState copy = new ArrayList<>(mCopies).get(random.nextInt(mCopies.size())).copy();
        fleet().store().injectFault(random.nextBoolean() ? Fault.UNAVAILABLE : Fault.NO_RESPONSE);
        TimeUnit.MILLISECONDS.sleep(random.nextInt((int) MAX_OUTAGE_MILLIS));
        fleet().store().restore(copy);
        fleet().store().injectFault(Fault.NONE);
        writeConfiguration();
        announceServers();
    }

    private void restart(int entry) {
        fleet().signal(entry, "KILL");
        fleet().entryProcess(entry).onExit().join();
        fleet().startEntry(entry);
    }

    private void freeze(int entry, long millis) throws InterruptedException {
        fleet().signal(entry, "STOP");
        TimeUnit.MILLISECONDS.sleep(millis);
        fleet().signal(entry, "CONT");
    }

    private void disturb(Random random) throws InterruptedException {
        int entry = random.nextInt(entryCount());
        switch (random.nextInt(4)) {
            case 0 -> restart(entry);
            case 1 -> freeze(entry, random.nextInt((int) MAX_FREEZE_MILLIS));
            case 2 -> {
                for (int i = 0; i < entryCount(); i++) {
                    restart(i);
                }
            }
            default -> addRoute();
        }
    }

    private void assertFollowed(String what) throws InterruptedException {
        for (int i = 0; i < entryCount(); i++) {
            fleet().awaitReady(i);
        }
        pass(STABLE_MILLIS);
        addRoute();
        TimeUnit.MILLISECONDS.sleep(APPLY_MILLIS);
        for (int i = 0; i < entryCount(); i++) {
            for (int route = 0; route < mRoutes; route++) {
                assertThat(call(i, "/added" + route + "/a", "").status())
                        .as("%s: entry %d, route %d", what, i, route)
                        .isEqualTo(OK);
            }
        }
        for (String model : MODELS) {
            ProcessFleet.await(
                    what + ": " + model, () -> call(0, "/resume/a", model).status() == OK);
        }
    }

    /** Asserts that fencing numbers never fall at an engine and belong to one holder each. */
    private void assertOrdersFenced(String what) {
        Map<Long, String> holders = new HashMap<>();
        for (String engine : List.of("e1", "e2")) {
            long highest = 0;
            for (ReceivedOrder order : fleet().backendServer(engine).receivedOrders()) {
                assertThat(order.fencingNumber()).as(what).isGreaterThanOrEqualTo(highest);
                highest = order.fencingNumber();
                assertThat(holders.merge(highest, order.holder(), (first, next) -> first))
                        .as(what)
                        .isEqualTo(order.holder());
            }
        }
    }

    private void assertNoTurns(String what) {
        for (String engine : List.of("e1", "e2")) {
            List<ReceivedOrder> orders = fleet().backendServer(engine).receivedOrders();
            assertThat(OrderTurns.find(orders, DirectFleet.REELECTION_MILLIS)).as(what).isEmpty();
        }
    }

    @Test(dataProvider = "seeds")
    public void entriesFollowRestoredStore(long seed) throws InterruptedException {
        Random random = new Random(seed);
        mCopies.clear();
        mHeartbeats = 0;
        mRoutes = 0;
        addRoute();
        pass(2 * COPY_INTERVAL_MILLIS);
        for (int round = 0; round < ROUNDS; round++) {
            String what = "seed " + seed + ", round " + round;
            if (random.nextBoolean()) {
                disturb(random);
            }
            writeWhatWillBeLost();
            restore(random);
            if (random.nextBoolean()) {
                disturb(random);
            }
            assertFollowed(what);
            assertOrdersFenced(what);
            assertNoTurns(what);
        }
    }
}

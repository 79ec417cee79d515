package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests that entries together learn which part of a prompt crashes servers, and block only it. */
public class PoisonPartProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;

    /** Crashes from which entries may learn, and calls that may still reach servers after them. */
    private static final int MAX_POISON_CALLS = 5 + 3;

    private static final int CALLS = 30;

    /** Crashes of known incarnations after which an entry blocks a part. */
    private static final int CRASHES_BEFORE_BLOCK = 3;

    /** Servers of the fleet before any of them restarts. */
    private static final int SERVERS = 4;

    /** Counts each incarnation of a server as an entry learns of it. */
    private static final String KNOWN_INCARNATIONS = "cornelway_events_server_known_total";

    /** Time between two calls; entries exchange what they know four times a second. */
    private static final long PAUSE_MILLIS = 150;

    @Override
    int entryCount() {
        return 2;
    }

    /** Sends a call for a model. */
    private Response call(int entry, String sharedParts, int number) {
        return call(entry, "/stream/a", "m1", sharedParts + ",own" + number + ":5");
    }

    private Response call(int entry, String path, String model, String parts) {
        List<Header> headers = new ArrayList<>(List.of(headers(newRequestId(), model)));
        headers.add(new Header("X-Prompt-Prefix", parts));
        return fleet().http()
                .call("POST", fleet().frontPort(entry), path, "p", headers.toArray(Header[]::new));
    }

    private long poisonCalls() {
        return List.of("e1", "e2", "p1", "p2").stream()
                .flatMap(id -> fleet().backendServer(id).receivedCalls().stream())
                .filter(call -> call.header("x-prompt-prefix").contains("poison"))
                .count();
    }

    /** Value of a metric of an entry; 0 if it has none. */
    private double metric(int entry, String name) {
        String metrics =
                fleet().http().call("GET", fleet().readyPort(entry), "/metrics", "").body();
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(0);
    }

    /** Waits until both entries know the incarnations of all servers. */
    private void awaitKnownIncarnations(long count) {
        for (int i = 0; i < entryCount(); i++) {
            int entry = i;
            ProcessFleet.await(
                    count + " incarnations known to entry " + entry,
                    () -> metric(entry, KNOWN_INCARNATIONS) >= count);
        }
    }

    private void crashOnPoisonPart(String... servers) {
        for (String id : servers) {
            fleet().backendServer(id).crashOnPart("poison");
        }
    }

    @Test
    public void callsWithThePoisonPartStopReachingServersAndOthersDoNot()
            throws InterruptedException {
        crashOnPoisonPart("e1", "e2");
        int lastStatus = 0;
        for (int i = 0; i < CALLS; i++) {
            lastStatus = call(i % 2, "first:10,poison:10", i).status();
            fleet().announce(DirectFleet.ENGINE_SERVICE, "e1", "ready", 1_000 + i);
            fleet().announce(DirectFleet.ENGINE_SERVICE, "e2", "ready", 1_000 + i);
            awaitKnownIncarnations(SERVERS + poisonCalls());
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(poisonCalls()).isBetween(1L, (long) MAX_POISON_CALLS);
        assertThat(lastStatus).isEqualTo(UNAVAILABLE);
        for (int i = 0; i < CALLS; i++) {
            assertThat(call(i % 2, "first:10,sound:10", i).status()).isEqualTo(OK);
        }
    }

    /** Returns an action that announces the present incarnations of both plain servers. */
    private Runnable laterAnnouncements(long heartbeatSequence) {
        Map<String, byte[]> values = new HashMap<>();
        for (String id : List.of("p1", "p2")) {
            values.put(
                    "servers/" + id,
                    fleet().backendServer(id)
                            .announcement(DirectFleet.PLAIN_SERVICE, "ready", heartbeatSequence));
        }
        return () ->
                values.forEach(
                        (key, value) ->
                                fleet().store().withState(state -> state.put(key, value, 0)));
    }

    @Test
    public void crashesBeforeTheRestartOfTheServerIsKnownCountAsSoonAsItIs()
            throws InterruptedException {
        crashOnPoisonPart("p1", "p2");
        List<Runnable> announcements = new ArrayList<>();
        for (int i = 0; i < CRASHES_BEFORE_BLOCK; i++) {
            call(0, "/unsafe/a", "", "first:10,poison:10,own" + i + ":5");
            announcements.add(laterAnnouncements(1_000 + i));
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(poisonCalls()).isEqualTo(CRASHES_BEFORE_BLOCK);
        for (int i = 0; i < announcements.size(); i++) {
            announcements.get(i).run();
            awaitKnownIncarnations(SERVERS + i + 1);
        }
        Thread.sleep(PAUSE_MILLIS);
        assertThat(call(0, "/unsafe/a", "", "first:10,poison:10,last:5").status())
                .isEqualTo(UNAVAILABLE);
        assertThat(poisonCalls()).isEqualTo(CRASHES_BEFORE_BLOCK);
    }
}

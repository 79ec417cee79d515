package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests that entries together learn which part of a prompt crashes servers, and block only it. */
public class PoisonPartProcessTest extends DirectTestBase {
    private static final int UNAVAILABLE = 503;

    /** Crashes from which entries may learn, and calls that may still reach servers after them. */
    private static final int MAX_POISON_CALLS = 5 + 3;

    private static final int CALLS = 30;

    /** Time between two calls; entries exchange what they know four times a second. */
    private static final long PAUSE_MILLIS = 150;

    @Override
    int entryCount() {
        return 2;
    }

    private Response call(int entry, String sharedParts, int number) {
        List<Header> headers = new ArrayList<>(List.of(headers(newRequestId(), "m1")));
        headers.add(new Header("X-Prompt-Prefix", sharedParts + ",own" + number + ":5"));
        return fleet().http()
                .call(
                        "POST",
                        fleet().frontPort(entry),
                        "/stream/a",
                        "p",
                        headers.toArray(Header[]::new));
    }

    private long poisonCalls() {
        return List.of("e1", "e2").stream()
                .flatMap(id -> fleet().backendServer(id).receivedCalls().stream())
                .filter(call -> call.header("x-prompt-prefix").contains("poison"))
                .count();
    }

    @Test
    public void callsWithThePoisonPartStopReachingServersAndOthersDoNot()
            throws InterruptedException {
        fleet().backendServer("e1").crashOnPart("poison");
        fleet().backendServer("e2").crashOnPart("poison");
        int lastStatus = 0;
        for (int i = 0; i < CALLS; i++) {
            lastStatus = call(i % 2, "first:10,poison:10", i).status();
            fleet().announce(DirectFleet.ENGINE_SERVICE, "e1", "ready", 1_000 + i);
            fleet().announce(DirectFleet.ENGINE_SERVICE, "e2", "ready", 1_000 + i);
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(poisonCalls()).isBetween(1L, (long) MAX_POISON_CALLS);
        assertThat(lastStatus).isEqualTo(UNAVAILABLE);
        for (int i = 0; i < CALLS; i++) {
            assertThat(call(i % 2, "first:10,sound:10", i).status()).isEqualTo(OK);
        }
    }
}

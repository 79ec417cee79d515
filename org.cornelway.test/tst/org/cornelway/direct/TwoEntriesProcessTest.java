package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.testng.annotations.Test;

/**
 * Runs two entries as real processes and kills them in turn. Tests that a restarted entry gets its
 * state from the other one if the key-value service is down, and that each entry serves model calls
 * after the other was killed.
 */
public class TwoEntriesProcessTest extends DirectTestBase {
    @Override
    int entryCount() {
        return 2;
    }

    @Test
    public void restartedEntryServesFromPeerStateDuringStoreOutage() {
        fleet().store().injectFault(Fault.NO_RESPONSE);
        fleet().signal(1, "KILL");
        fleet().entryProcess(1).onExit().join();
        fleet().startEntry(1);
        fleet().awaitReady(1);
        assertThat(
                        fleet().http()
                                .call(
                                        "POST",
                                        fleet().frontPort(1),
                                        "/safe/a",
                                        "x",
                                        headers(newRequestId(), ""))
                                .body())
                .isEqualTo("done x");
    }

    @Test
    public void eachEntryServesModelCallsAfterTheOtherIsKilled() {
        fleet().signal(1, "KILL");
        ProcessFleet.await(
                "a response with a loaded model from the surviving entry",
                () -> stream("/stream/a", "m3").status() == OK);
        fleet().startEntry(1);
        fleet().awaitReady(1);
        fleet().signal(0, "KILL");
        ProcessFleet.await(
                "a response from the restarted entry",
                () ->
                        fleet().http()
                                        .call(
                                                "POST",
                                                fleet().frontPort(1),
                                                "/stream/a",
                                                "p",
                                                headers(newRequestId(), "m3"))
                                        .status()
                                == OK);
    }
}

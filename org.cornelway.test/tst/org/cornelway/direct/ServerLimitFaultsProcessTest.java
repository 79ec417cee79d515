package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that limits hold while entries and the key-value service fail. */
public class ServerLimitFaultsProcessTest extends ServerLimitTestBase {
    private static final List<String> LIMITED = List.of("p1", "p2");

    /** What happens in the middle of the calls. */
    private interface Event {
        void happen();
    }

    /** Returns the entry that has become the controller; empty while none has. */
    private OptionalInt findController() {
        return IntStream.range(0, entryCount())
                .filter(i -> log(i).contains("event=controller.began"))
                .findFirst();
    }

    private String log(int entry) {
        try {
            return Files.readString(fleet().logFile(entry));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int controller() {
        return findController().orElseThrow();
    }

    private int other() {
        return (controller() + 1) % entryCount();
    }

    private void restart(int entry) {
        fleet().signal(entry, "KILL");
        fleet().entryProcess(entry).onExit().join();
        fleet().startEntry(entry);
        fleet().awaitReady(entry);
    }

    private void freeze(int entry) {
        fleet().signal(entry, "STOP");
        try {
            Thread.sleep(SETTLE_MILLIS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        fleet().signal(entry, "CONT");
    }

    @DataProvider
    public Object[][] events() {
        return new Object[][] {
            {"the controller is killed", (Event) () -> fleet().signal(controller(), "KILL")},
            {"the controller is restarted", (Event) () -> restart(controller())},
            {"the controller is frozen", (Event) () -> freeze(controller())},
            {"another entry is restarted", (Event) () -> restart(other())},
            {"another entry is frozen", (Event) () -> freeze(other())},
            {
                "the key-value service is silent",
                (Event) () -> fleet().store().injectFault(Fault.NO_RESPONSE)
            },
        };
    }

    @Test(dataProvider = "events")
    public void limitHoldsWhile(String what, Object event) throws InterruptedException {
        ProcessFleet.await("a controller", () -> findController().isPresent());
        nameLimit(LIMITED);
        long start = System.nanoTime();
        sendCalls("/safe/a", "", i -> i % entryCount(), ((Event) event)::happen);
        assertLimitKept(LIMITED, start);
    }

    /** Guards against limited servers that get nothing while there is no controller. */
    @Test
    public void limitedServersGetCallsWhileNoControllerCanBeElected() throws InterruptedException {
        ProcessFleet.await("a controller", () -> findController().isPresent());
        nameLimit(LIMITED);
        fleet().store().injectFault(Fault.NO_RESPONSE);
        long start = System.nanoTime();
        sendCalls("/safe/a", "");
        double seconds = (CALLS * CALL_INTERVAL_MILLIS - SETTLE_MILLIS) / 1_000.0;
        for (String id : LIMITED) {
            assertThat((double) arrivals(id, start).size())
                    .as(id)
                    .isGreaterThanOrEqualTo(0.25 * LIMIT * seconds);
        }
        assertLimitKept(LIMITED, start);
    }
}

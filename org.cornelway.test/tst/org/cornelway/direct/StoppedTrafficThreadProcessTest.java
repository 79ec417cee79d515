package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.pgm.Main;
import org.testng.annotations.Test;

/** Tests an entry, as a real process, whose traffic thread does not go on. */
public class StoppedTrafficThreadProcessTest extends DirectTestBase {
    /** Exit status of a process that cannot go on; see {@link Main}. */
    private static final int EXIT_FAILED = 1;

    /** Time in which the process must end by itself. */
    private static final long END_SECONDS = 30;

    private static final long RETRY_SECONDS = 10;

    /** Longer than the process may be without a check of its calls and count as ready. */
    private static final long FREEZE_MILLIS = 8_000;

    @Override
    void prepareFleet(DirectFleet fleet) {
        // The launcher takes the first argument that is no flag for the main class.
        fleet.setFlags(
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                TrafficThreadFaults.class.getName());
    }

    private boolean isReady() {
        return fleet().http().isOk(fleet().readyPort(0), "/ready");
    }

    private String log() {
        try {
            return Files.readString(fleet().logFile(0));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Guards against a process that lives on, and says that it is ready, but answers nobody. */
    @Test
    public void processEndsWithAnErrorWhenItsTrafficThreadHasEnded() throws InterruptedException {
        boolean ended = false;
        // An error within a task ends that task only, so the signal may have to be repeated.
        for (int i = 0; i < END_SECONDS / RETRY_SECONDS && !ended; i++) {
            fleet().signal(0, TrafficThreadFaults.STOP_SIGNAL);
            ended = fleet().entryProcess(0).waitFor(RETRY_SECONDS, TimeUnit.SECONDS);
        }
        assertThat(ended).as("ended, /ready says %s", isReady() ? "yes" : "no").isTrue();
        assertThat(fleet().entryProcess(0).exitValue()).isEqualTo(EXIT_FAILED);
        assertThat(log()).contains("event=traffic.ended");
    }

    /** Guards against calls that the load balancer sends to a process that answers nobody. */
    @Test
    public void processIsNotReadyWhileItsTrafficThreadIsBlocked() {
        fleet().signal(0, TrafficThreadFaults.SUSPEND_SIGNAL);
        ProcessFleet.await("an entry that is not ready", () -> !isReady());
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
        ProcessFleet.await("a line in the log", () -> log().contains("event=traffic.stalled"));
        fleet().signal(0, TrafficThreadFaults.SUSPEND_SIGNAL);
        fleet().awaitReady(0);
        assertThat(call("/safe/a", "x").body()).isEqualTo("done x");
        ProcessFleet.await("a line in the log", () -> log().contains("event=traffic.resumed"));
    }

    /** Guards against a load balancer that loses all processes of a machine that was frozen. */
    @Test
    public void processThatWasFrozenIsReady() throws InterruptedException {
        fleet().signal(0, "STOP");
        Thread.sleep(FREEZE_MILLIS);
        fleet().signal(0, "CONT");
        assertThat(isReady()).isTrue();
        // Calls read just after a pause may be refused, since their callers may have left.
        ProcessFleet.await("an answer", () -> call("/safe/a", "x").status() == OK);
        assertThat(isReady()).isTrue();
        assertThat(log()).doesNotContain("event=traffic.");
    }
}

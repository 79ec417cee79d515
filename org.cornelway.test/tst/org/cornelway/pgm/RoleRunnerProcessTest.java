package org.cornelway.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests how a process that runs a role ends after SIGTERM. */
public class RoleRunnerProcessTest {
    /** Exit status of a process that SIGTERM has ended: 128 plus 15, the number of the signal. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private Process mProcess;

    @AfterMethod(alwaysRun = true)
    public void endProcess() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    /** Guards against a process that is ended by a signal without a drain. */
    @Test
    public void signalDuringStartDrainsAndStopsTheRole() throws IOException, InterruptedException {
        start(SignalledRole.Mode.SIGNALLED_DURING_START);
        try (BufferedReader output = mProcess.inputReader()) {
            assertThat(output.lines()).containsExactly("started", "drained", "stopped");
        }
        assertThat(mProcess.waitFor()).isEqualTo(SIGTERM_EXIT_STATUS);
    }

    /** Guards against a process that is killed while it still closes its components. */
    @Test
    public void processEndsWithinTheGracePeriodAlthoughItsRoleDoesNotStop()
            throws IOException, InterruptedException {
        start(SignalledRole.Mode.SIGNALLED_AND_NEVER_STOPPED);
        try (BufferedReader output = mProcess.inputReader()) {
            assertThat(output.readLine()).isEqualTo("started");
            assertThat(output.readLine()).isEqualTo("drained");
            boolean ended = mProcess.waitFor(SignalledRole.GRACE_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(ended).isTrue();
            assertThat(output.readLine()).isEqualTo("stopped");
        }
    }

    private void start(SignalledRole.Mode mode) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        mProcess =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                SignalledRole.class.getName(),
                                mode.name())
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
    }
}

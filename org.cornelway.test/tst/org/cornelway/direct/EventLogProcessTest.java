package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import org.cornelway.bench.ProcessFleet;
import org.testng.annotations.Test;

/** Tests that an entry with a small heap writes its log. */
public class EventLogProcessTest extends DirectTestBase {
    /** Guards against an entry that loses its log to a garbage collection at its start. */
    @Test
    public void entryLogsItsStartAndItsCalls() {
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        ProcessFleet.await("the line of the call", () -> log().contains("event=call.done"));
        assertThat(log()).contains("event=process.start");
    }

    private String log() {
        try {
            return Files.readString(fleet().logFile(0));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

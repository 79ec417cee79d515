package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.StreamPlan;
import org.testng.annotations.Test;

/** Tests streams of callers that read slowly, so that the entry stops reading from the engine. */
public class SlowCallerProcessTest extends DirectTestBase {
    /** Together more than the buffers of the connections hold. */
    private static final int EVENT_BYTES = 60_000;

    private static final int STREAM_EVENTS = 300;
    private static final StreamPlan STREAM = new StreamPlan(STREAM_EVENTS, 3, EVENT_BYTES);
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** Longer than an engine may be silent before its stream is sent to another one as well. */
    private static final long NOT_READING_MILLIS = 3_000;

    @Override
    void prepareFleet(DirectFleet fleet) {
        for (String id : List.of("e1", "e2")) {
            fleet.backendServer(id).configureStream(STREAM);
        }
    }

    /** Guards against a second run of a stream whose caller reads slowly. */
    @Test
    public void engineIsNotSilentWhileTheEntryDoesNotReadFromIt()
            throws IOException, InterruptedException {
        try (RawCall caller =
                new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS, RECEIVE_BUFFER_BYTES)) {
            String headers = "X-Model: m1\r\nX-Deadline-Ms: 10000\r\nContent-Length: 0\r\n";
            caller.sendHead("/resume/a", newRequestId(), headers);
            TimeUnit.MILLISECONDS.sleep(NOT_READING_MILLIS);
            Optional<String> response = caller.readResponse();
            String log = Files.readString(fleet().logFile(0));
            assertThat(response).as(log).isPresent();
            assertThat(response.get().lines().filter(line -> line.startsWith("id: ")))
                    .as(log)
                    .hasSize(STREAM_EVENTS)
                    .doesNotHaveDuplicates();
            assertThat(executedCalls("e1") + executedCalls("e2")).as(log).isEqualTo(1);
        }
    }
}

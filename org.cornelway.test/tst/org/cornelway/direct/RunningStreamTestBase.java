package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;

/** Base class of the tests of streams that run at both engines while something happens. */
public abstract class RunningStreamTestBase extends DirectTestBase {
    static final int STREAMS = 4;
    private static final int STREAM_EVENTS = 100;
    private static final long EVENT_INTERVAL_MILLIS = 30;

    @Override
    final void prepareFleet(DirectFleet fleet) {
        for (String id : List.of("e1", "e2")) {
            fleet.backendServer(id).configureStream(STREAM_EVENTS, EVENT_INTERVAL_MILLIS);
        }
    }

    /** Starts streams that can be resumed; returns when each has some events. */
    final List<CompletableFuture<Response>> startStreams() throws InterruptedException {
        List<CompletableFuture<Response>> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(CompletableFuture.supplyAsync(() -> stream("/resume/a", "m1")));
        }
        ProcessFleet.await("streams at the engines", () -> executedStreams() == STREAMS);
        Thread.sleep(10 * EVENT_INTERVAL_MILLIS);
        return streams;
    }

    /** Returns the number of calls that both engines together executed. */
    final long executedStreams() {
        return executedCalls("e1") + executedCalls("e2");
    }

    /** Asserts that each stream has each event once, after it has ended. */
    final void assertWhole(List<CompletableFuture<Response>> streams) {
        for (CompletableFuture<Response> stream : streams) {
            assertThat(stream.join().body().lines().filter(line -> line.startsWith("id: ")))
                    .as(entryLog())
                    .hasSize(STREAM_EVENTS)
                    .doesNotHaveDuplicates();
        }
    }

    /** Returns the log of the first entry. */
    final String entryLog() {
        try {
            return Files.readString(fleet().logFile(0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

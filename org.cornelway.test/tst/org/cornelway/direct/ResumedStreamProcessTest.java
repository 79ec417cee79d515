package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests streams whose engine breaks off while no other engine takes them for a while. */
public class ResumedStreamProcessTest extends DirectTestBase {
    private static final int STREAM_EVENTS = 60;
    private static final long EVENT_INTERVAL_MILLIS = 30;
    private static final List<String> ENGINES = List.of("e1", "e2");

    /** Longer than an engine goes on until it breaks off, and a second of refusals. */
    private static final long REFUSAL_MILLIS = 2_000;

    @Override
    void prepareFleet(DirectFleet fleet) {
        for (String id : ENGINES) {
            fleet.backendServer(id).configureStream(STREAM_EVENTS, EVENT_INTERVAL_MILLIS);
        }
    }

    private void inject(Fault fault) {
        ENGINES.forEach(id -> fleet().backendServer(id).injectFault(fault));
    }

    private long executedCalls() {
        return ENGINES.stream().mapToLong(this::executedCalls).sum();
    }

    /** Guards against a stream that is cut after a few refusals although its caller waits. */
    @Test
    public void brokenStreamGoesOnAfterManyRefusals() throws Exception {
        inject(Fault.TRUNCATED_RESPONSE);
        CompletableFuture<Response> stream =
                CompletableFuture.supplyAsync(() -> stream("/resume/a", "m1"));
        ProcessFleet.await("the stream at an engine", () -> executedCalls() == 1);
        TimeUnit.MILLISECONDS.sleep(10 * EVENT_INTERVAL_MILLIS);
        inject(Fault.OVERLOADED);
        TimeUnit.MILLISECONDS.sleep(REFUSAL_MILLIS);
        inject(Fault.NONE);
        String body = stream.join().body();
        assertThat(body.lines().filter(line -> line.startsWith("id: ")))
                .as(Files.readString(fleet().logFile(0)))
                .hasSize(STREAM_EVENTS)
                .doesNotHaveDuplicates();
        assertThat(ENGINES.stream().mapToInt(id -> received(id)).sum()).isBetween(5, 15);
    }

    private int received(String engine) {
        return fleet().backendServer(engine).receivedCalls().size();
    }
}

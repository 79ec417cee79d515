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
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams of a sound engine that is silent for a while and then goes on. */
public class MovedStreamProcessTest extends DirectTestBase {
    private static final int STREAMS = 4;
    private static final int STREAM_EVENTS = 100;
    private static final long EVENT_INTERVAL_MILLIS = 30;

    /** Longer than a stream may be silent before it is sent to another server as well. */
    private static final long PAUSE_MILLIS = 1_300;

    @Override
    void prepareFleet(DirectFleet fleet) {
        for (String id : List.of("e1", "e2")) {
            fleet.backendServer(id).configureStream(STREAM_EVENTS, EVENT_INTERVAL_MILLIS);
        }
    }

    @DataProvider
    public Object[][] faults() {
        List<Object[]> all = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            all.add(new Object[] {fault});
        }
        return all.toArray(Object[][]::new);
    }

    /** Guards against a stream that is lost because another server cannot go on with it. */
    @Test(dataProvider = "faults")
    public void streamOfSilentSoundEngineIsWholeWhateverTheOtherEngineDoes(Fault fault)
            throws Exception {
        assertWhole(streamFromSilentEngine(fault));
    }

    @DataProvider
    public Object[][] plannedWork() {
        Runnable configuration = () -> fleet().configure();
        Runnable reload = () -> fleet().signal(0, "HUP");
        Runnable stop = () -> fleet().signal(0, "TERM");
        List<Object[]> all = new ArrayList<>();
        for (Fault fault : List.of(Fault.NONE, Fault.NO_RESPONSE)) {
            all.add(new Object[] {"change of the configuration", configuration, fault});
            all.add(new Object[] {"SIGHUP", reload, fault});
            all.add(new Object[] {"SIGTERM", stop, fault});
        }
        return all.toArray(Object[][]::new);
    }

    /**
     * Guards against a stream that is lost because of planned work while it runs at two engines.
     */
    @Test(dataProvider = "plannedWork")
    public void streamOfSilentSoundEngineIsWholeIfPlannedWorkIsDoneBesideIt(
            String name, Runnable work, Fault fault) throws Exception {
        List<CompletableFuture<Response>> streams = streamFromSilentEngine(fault);
        ProcessFleet.await("a hedge", () -> entryLog().contains("event=call.silent"));
        work.run();
        assertWhole(streams);
    }

    private String entryLog() {
        try {
            return Files.readString(fleet().logFile(0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts streams, silences the engine that has most of them and injects a fault elsewhere. */
    private List<CompletableFuture<Response>> streamFromSilentEngine(Fault fault)
            throws InterruptedException {
        List<CompletableFuture<Response>> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(CompletableFuture.supplyAsync(() -> stream("/resume/a", "m1")));
        }
        ProcessFleet.await(
                "streams at the engines",
                () -> executedCalls("e1") + executedCalls("e2") == STREAMS);
        Thread.sleep(10 * EVENT_INTERVAL_MILLIS);
        boolean isFirstPaused = executedCalls("e1") >= executedCalls("e2");
        fleet().backendServer(isFirstPaused ? "e2" : "e1").injectFault(fault);
        fleet().backendServer(isFirstPaused ? "e1" : "e2").pauseStreams(PAUSE_MILLIS);
        return streams;
    }

    private void assertWhole(List<CompletableFuture<Response>> streams) {
        for (CompletableFuture<Response> stream : streams) {
            assertThat(stream.join().body().lines().filter(line -> line.startsWith("id: ")))
                    .as(entryLog())
                    .hasSize(STREAM_EVENTS)
                    .doesNotHaveDuplicates();
        }
    }
}

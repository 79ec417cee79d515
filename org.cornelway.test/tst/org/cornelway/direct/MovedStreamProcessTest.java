package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams of a sound engine that is silent for a while and then goes on. */
public class MovedStreamProcessTest extends RunningStreamTestBase {
    /** Longer than a stream may be silent before it is sent to another server as well. */
    private static final long PAUSE_MILLIS = 1_300;

    /** Time for which a stopped entry runs between two stops. */
    private static final long RUN_MILLIS = 20;

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

    /** Times for which the entry stops, in milliseconds; the hedge's time ends within some. */
    @DataProvider
    public Object[][] stops() {
        return new Object[][] {{List.of(600L)}, {List.of(100L, 400L)}, {List.of(300L, 200L, 500L)}};
    }

    /** Guards against a stream that is lost because the entry stood still beside a hedge. */
    @Test(dataProvider = "stops")
    public void streamOfSilentSoundEngineIsNotSentThereAgainAfterTheEntryStopped(
            List<Long> stopMillis) throws Exception {
        List<CompletableFuture<Response>> streams = startStreams();
        String silent = silenceEngine(Fault.NO_RESPONSE);
        long calls = executedCalls(silent);
        ProcessFleet.await("a hedge", () -> entryLog().contains("event=call.silent"));
        for (long millis : stopMillis) {
            fleet().signal(0, "STOP");
            Thread.sleep(millis);
            fleet().signal(0, "CONT");
            Thread.sleep(RUN_MILLIS);
        }
        assertWhole(streams);
        assertThat(executedCalls(silent)).as(entryLog()).isEqualTo(calls);
    }

    /** Starts streams, silences the engine that has most of them and injects a fault elsewhere. */
    private List<CompletableFuture<Response>> streamFromSilentEngine(Fault fault)
            throws InterruptedException {
        List<CompletableFuture<Response>> streams = startStreams();
        silenceEngine(fault);
        return streams;
    }

    /** Silences the engine that has most streams; returns its id. */
    private String silenceEngine(Fault faultElsewhere) {
        boolean isFirstPaused = executedCalls("e1") >= executedCalls("e2");
        String silent = isFirstPaused ? "e1" : "e2";
        fleet().backendServer(isFirstPaused ? "e2" : "e1").injectFault(faultElsewhere);
        fleet().backendServer(silent).pauseStreams(PAUSE_MILLIS);
        return silent;
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.testng.annotations.Test;

/** Tests the placement of models on engines before and at the first calls. */
public class IdleEnginesProcessTest extends DirectTestBase {
    /** Time in which the controller begins its term and orders the first loads. */
    private static final long SETTLING_MILLIS = 6_000;

    /** Time in which no order may be sent. */
    private static final long OBSERVED_MILLIS = 5_000;

    private static final int STREAMS = 8;

    @Test
    public void settledEnginesReceiveNoOrdersWithoutCalls() throws Exception {
        Thread.sleep(SETTLING_MILLIS);
        int settled = orders().size();
        Thread.sleep(OBSERVED_MILLIS);
        List<String> orders = orders();
        assertThat(orders.subList(settled, orders.size())).isEmpty();
    }

    /** Guards against an eviction while another engine has free memory for the loaded model. */
    @Test
    public void modelIsLoadedIntoFreeMemoryOfAnotherEngine() throws Exception {
        Thread.sleep(SETTLING_MILLIS);
        assertThat(fleet().backendServer("e1").loadedModels())
                .containsExactlyInAnyOrder("m1", "m2");
        assertThat(fleet().backendServer("e2").loadedModels())
                .containsExactlyInAnyOrder("m1", "m3");
    }

    /** Guards against calls that find their model on one of the engines that held it only. */
    @Test
    public void streamsAtOnceReachBothEnginesThatHoldTheirModel() throws Exception {
        Thread.sleep(SETTLING_MILLIS);
        List<CompletableFuture<Response>> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(CompletableFuture.supplyAsync(() -> stream("/resume/a", "m1")));
        }
        streams.forEach(stream -> assertCompleteStream(stream.join()));
        assertThat(executedCalls("e1")).isPositive();
        assertThat(executedCalls("e2")).isPositive();
    }

    private List<String> orders() throws IOException {
        try (var lines = Files.lines(fleet().logFile(0))) {
            return lines.filter(line -> line.contains("engine.order")).toList();
        }
    }
}

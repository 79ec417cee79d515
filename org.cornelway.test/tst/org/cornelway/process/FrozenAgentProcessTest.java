package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams beside a process that stands still for a moment and then goes on. */
public final class FrozenAgentProcessTest extends ProcessTestBase {
    private static final int STREAMS = 4;
    private static final int TOKENS = 400;

    /** The agent of the model, or the process of the engines and of the platform's stores. */
    @DataProvider
    public Object[][] frozenProcesses() {
        return new Object[][] {{"agent", 1_300}, {"agent", 3_000}, {"standins", 1_300}};
    }

    /** Guards against answers that are given up, or run again, because of a silence. */
    @Test(dataProvider = "frozenProcesses")
    public void silenceOfFrozenProcessEndsNoAnswer(String frozen, long frozenMillis)
            throws IOException, InterruptedException {
        String agent = instanceWithModel("model-0");
        List<CompletableFuture<Response>> streams = new ArrayList<>();
        List<CompletableFuture<Response>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(send(streamedCompletionBody("model-0", TOKENS)));
            answers.add(send(completionBody("model-0", TOKENS)));
        }
        ProcessFleet.await("requests at the agent", () -> activeRequests(agent) == 2 * STREAMS);
        long retries = retries();
        String process = frozen.equals("agent") ? agent : frozen;
        fleet().freeze(process);
        TimeUnit.MILLISECONDS.sleep(frozenMillis);
        fleet().resume(process);
        streams.forEach(each -> assertCompleteStream(each.join(), TOKENS));
        answers.forEach(each -> assertCompleteResponse(each.join(), TOKENS));
        assertThat(retries())
                .as(Files.readString(fleet().logDirectory().resolve("entry-0.log")))
                .isEqualTo(retries);
    }

    private long retries() {
        return counterValue(fleet().entryHttpPort(0), "entry.retries");
    }

    private CompletableFuture<Response> send(String body) {
        return fleet().http()
                .send(
                        "POST",
                        fleet().entryHttpPort(0),
                        "/v1/completions",
                        body,
                        timeoutHeader(20_000));
    }

    private int activeRequests(String instance) {
        return status().path("processes").findParents("instance").stream()
                .filter(process -> process.path("instance").asText().equals(instance))
                .mapToInt(process -> process.path("active").asInt())
                .sum();
    }
}

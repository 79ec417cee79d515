package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests the graceful shutdown of entries and agents, and that a stream whose agent is killed is
 * reported as incomplete.
 */
public final class ShutdownProcessTest extends ProcessTestBase {
    /** Number of tokens in a stream. */
    private static final int TOKENS = 300;

    /** Number of streams that each call of {@link #startStreams} starts. */
    private static final int STREAMS = 20;

    /** Exit status of a process that SIGTERM has ended: 128 plus 15, the number of the signal. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private List<CompletableFuture<Response>> startStreams(int entry, String model) {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            responses.add(
                    fleet().http()
                            .send(
                                    "POST",
                                    fleet().entryHttpPort(entry),
                                    "/v1/completions",
                                    streamedCompletionBody(model, TOKENS)));
        }
        return responses;
    }

    /** Returns the number of requests that an instance is running, according to the status. */
    private int activeRequests(String instance) {
        return status().path("processes").findParents("instance").stream()
                .filter(process -> process.path("instance").asText().equals(instance))
                .mapToInt(process -> process.path("active").asInt())
                .sum();
    }

    @Test
    public void stoppedEntryCompletesOpenStreams() {
        List<CompletableFuture<Response>> responses = startStreams(1, "model-0");
        ProcessFleet.await("load", () -> activeRequests("entry-1") == STREAMS);
        assertThat(fleet().terminate("entry-1")).isEqualTo(SIGTERM_EXIT_STATUS);
        responses.forEach(response -> assertCompleteStream(response.join(), TOKENS));
    }

    @Test
    public void stoppedAgentsCompleteOpenStreamsAndLoseNoRequests() {
        List<CompletableFuture<Response>> responses = startStreams(0, "model-0");
        responses.addAll(startStreams(1, "model-1"));
        ProcessFleet.await("load", () -> activeRequests("entry-0") == STREAMS);
        for (int i = 0; i < fleetSize().engines(); i++) {
            assertThat(fleet().terminate(ProcessFleet.agentId(i))).isEqualTo(SIGTERM_EXIT_STATUS);
            fleet().startAgent(i);
        }
        responses.forEach(response -> assertCompleteStream(response.join(), TOKENS));
    }

    @Test
    public void streamOfKilledAgentIsReportedAsIncomplete() {
        int agent = agentIndex(instanceWithModel("model-0"));
        CompletableFuture<Response> stream =
                fleet().http()
                        .send(
                                "POST",
                                fleet().entryHttpPort(1),
                                "/v1/completions",
                                streamedCompletionBody("model-0", 2_000),
                                timeoutHeader(20_000));
        ProcessFleet.await(
                "the stream to begin",
                () -> counterValue(fleet().entryHttpPort(1), "entry.chunks") > 0);
        fleet().kill(ProcessFleet.agentId(agent));
        fleet().startAgent(agent);
        Response response = stream.join();
        assertThat(response.body()).contains(ResultCode.ANSWER_INCOMPLETE.name());
        assertThat(response.body()).doesNotContain("[DONE]");
    }

    @Test
    public void entriesAndAgentsStopGracefully() {
        assertCompleteResponse(requestCompletion(0, "model-1", 4), 4);
        for (String name : List.of("entry-0", "agent-0", "agent-1", "agent-3")) {
            assertThat(fleet().terminate(name)).as(name).isEqualTo(SIGTERM_EXIT_STATUS);
        }
    }
}

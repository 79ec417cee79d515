package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.stream.IntStream;
import org.cornelway.RepositoryFiles;
import org.cornelway.bench.DemoPresets;
import org.cornelway.bench.FleetSize;
import org.cornelway.bench.LoopbackHttpClient;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.config.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** For each test, starts the processes of the system and the stand-ins for its platform. */
public abstract class ProcessTestBase {
    static final int OK = 200;

    private ProcessFleet mFleet;

    @BeforeMethod
    public final void startFleet() {
        mFleet = new ProcessFleet(RepositoryFiles.root(), fleetSize());
        prepare(mFleet);
        mFleet.startAll();
        mFleet.activatePreset(
                "ordinary", DemoPresets.toJson(DemoPresets.preset("ordinary", 4, 1, 2)));
        for (int i = 0; i < fleetSize().entries(); i++) {
            int port = mFleet.entryHttpPort(i);
            ProcessFleet.await("entry", () -> mFleet.http().isOk(port, "/readyz"));
        }
        ProcessFleet.await("a loaded replica of model-0", () -> loadedReplicas("model-0") == 1);
    }

    @AfterMethod(alwaysRun = true)
    public final void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    FleetSize fleetSize() {
        return FleetSize.small();
    }

    /** Called for each fleet before its processes are started. */
    void prepare(ProcessFleet fleet) {}

    final ProcessFleet fleet() {
        return mFleet;
    }

    /** Requests a completion of the prompt {@code p} through an entry; returns the response. */
    final Response requestCompletion(int entry, String model, int tokens) {
        return mFleet.http()
                .call(
                        "POST",
                        mFleet.entryHttpPort(entry),
                        "/v1/completions",
                        completionBody(model, tokens));
    }

    static String completionBody(String model, int tokens) {
        return "{\"model\":\"" + model + "\",\"prompt\":\"p\",\"max_tokens\":" + tokens + "}";
    }

    /** The complete response text of the engine stand-in to the prompt {@code p}. */
    static String completeText(int tokens) {
        StringBuilder text = new StringBuilder();
        String promptHash = Integer.toHexString("p".hashCode());
        IntStream.range(0, tokens).forEach(i -> text.append(promptHash + "." + i + " "));
        return text.toString();
    }

    /** Asserts that a response to the prompt {@code p} has all its tokens in order. */
    static void assertCompleteResponse(Response response, int tokens) {
        assertThat(response.status()).as(response.body()).isEqualTo(OK);
        assertThat(json(response.body()).path("choices").path(0).path("text").asText())
                .isEqualTo(completeText(tokens));
    }

    static String streamedCompletionBody(String model, int tokens) {
        return completionBody(model, tokens).replace("{", "{\"stream\":true,");
    }

    /** Asserts that a stream for the prompt {@code p} has all its tokens in order and its end. */
    static void assertCompleteStream(Response response, int tokens) {
        assertThat(response.status()).as(response.body()).isEqualTo(OK);
        StringBuilder text = new StringBuilder();
        response.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> json(line.substring("data: ".length())))
                .forEach(e -> text.append(e.path("choices").path(0).path("text").asText()));
        assertThat(text.toString()).isEqualTo(completeText(tokens));
        assertThat(response.body()).contains("data: [DONE]");
    }

    static JsonNode json(String text) {
        try {
            return Json.lenientMapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String bookingPath() {
        return "/services/" + ProcessFleet.PLAIN_SERVICE + "/bookings";
    }

    static LoopbackHttpClient.Header keyHeader(String key) {
        return new LoopbackHttpClient.Header("Idempotency-Key", key);
    }

    static LoopbackHttpClient.Header timeoutHeader(long millis) {
        return new LoopbackHttpClient.Header("X-Timeout-Millis", Long.toString(millis));
    }

    /** Sends a booking through an entry, with the idempotency key also as its body. */
    final Response book(int entry, String key) {
        return mFleet.http()
                .call(
                        "POST",
                        mFleet.entryHttpPort(entry),
                        bookingPath(),
                        "\"" + key + "\"",
                        keyHeader(key));
    }

    /** The number of times that the booking with a given key was executed; 0 if it never was. */
    final int executionCount(String key) {
        String executions =
                mFleet.http()
                        .call("GET", mFleet.backendServerPort(fleetSize().engines()), "/book", "")
                        .body();
        return json(executions).path("\"" + key + "\"").asInt(0);
    }

    /** Sets the faults of the stand-in that listens on an HTTP port; {@code {}} ends them. */
    final void injectFault(int port, String fault) {
        mFleet.http().call("POST", port, "/fault", fault);
    }

    /** The system status, as reported by the first entry. */
    final JsonNode status() {
        return json(mFleet.callAdminApi(0, "GET", "/status", "").body());
    }

    /** The number of loaded replicas of a model; 0 if the model is unknown. */
    final int loadedReplicas(String model) {
        for (JsonNode each : status().path("models")) {
            if (each.path("model").asText().equals(model)) {
                return each.path("loaded").asInt();
            }
        }
        return 0;
    }

    /** The first instance that holds a model, or the empty string. */
    final String instanceWithModel(String model) {
        for (JsonNode each : status().path("models")) {
            if (each.path("model").asText().equals(model)) {
                return each.path("where").path(0).asText();
            }
        }
        return "";
    }

    /** The index of an agent, parsed from its instance id. */
    static int agentIndex(String agent) {
        return Integer.parseInt(agent.substring("agent-".length()));
    }

    /** The value of a counter of the process that listens on an HTTP port; 0 if it has none. */
    final long counterValue(int port, String name) {
        String metrics = mFleet.http().call("GET", port, "/metrics", "").body();
        return json(metrics).path("counters").path(name).path("count").asLong();
    }

    /**
     * What the stand-ins counted: the current and the maximum number of replicas of each model, and
     * the loads that exceeded the memory of their engine.
     */
    final JsonNode replicaReport() {
        return json(mFleet.http().call("GET", mFleet.checkpointStorePort(), "/census", "").body());
    }

    /**
     * Asserts that no model has ever had more replicas than allowed, and that no load has exceeded
     * the memory of its engine.
     */
    final void assertWithinLimits(int maxReplicas) {
        JsonNode report = replicaReport();
        report.path("most")
                .forEach(most -> assertThat(most.asInt()).isLessThanOrEqualTo(maxReplicas));
        assertThat(report.path("overcommits").asInt()).isZero();
    }
}

package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.stream.IntStream;
import org.cornelway.Repository;
import org.cornelway.bench.DemoPresets;
import org.cornelway.bench.FleetShape;
import org.cornelway.bench.LoopbackHttp;
import org.cornelway.bench.LoopbackHttp.Reply;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.config.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** A fleet of real processes for each test. */
public abstract class ProcessTestBase {
    static final int OK = 200;

    private ProcessFleet mFleet;

    @BeforeMethod
    public final void startFleet() {
        mFleet = new ProcessFleet(Repository.root(), shape());
        prepare(mFleet);
        mFleet.startAll();
        mFleet.putInForce("ordinary", DemoPresets.json(DemoPresets.preset("ordinary", 4, 1, 2)));
        for (int i = 0; i < shape().entries(); i++) {
            int port = mFleet.entryPort(i);
            ProcessFleet.await("entry", () -> mFleet.http().isOk(port, "/readyz"));
        }
        ProcessFleet.await("warm replica", () -> loaded("model-0") == 1);
    }

    @AfterMethod(alwaysRun = true)
    public final void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    FleetShape shape() {
        return FleetShape.small();
    }

    void prepare(ProcessFleet fleet) {}

    final ProcessFleet fleet() {
        return mFleet;
    }

    final Reply complete(int entry, String model, int tokens) {
        return mFleet.http()
                .call("POST", mFleet.entryPort(entry), "/v1/completions", body(model, tokens));
    }

    static String body(String model, int tokens) {
        return "{\"model\":\"" + model + "\",\"prompt\":\"p\",\"max_tokens\":" + tokens + "}";
    }

    /** The whole text of an answer of the engine stand-in to the prompt {@code p}. */
    static String wholeText(int tokens) {
        StringBuilder text = new StringBuilder();
        String tag = Integer.toHexString("p".hashCode());
        IntStream.range(0, tokens).forEach(i -> text.append(tag + "." + i + " "));
        return text.toString();
    }

    static void assertWhole(Reply reply, int tokens) {
        assertThat(reply.status()).as(reply.body()).isEqualTo(OK);
        assertThat(json(reply.body()).path("choices").path(0).path("text").asText())
                .isEqualTo(wholeText(tokens));
    }

    static String streamedBody(String model, int tokens) {
        return body(model, tokens).replace("{", "{\"stream\":true,");
    }

    static void assertWholeStream(Reply reply, int tokens) {
        assertThat(reply.status()).as(reply.body()).isEqualTo(OK);
        StringBuilder text = new StringBuilder();
        reply.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> json(line.substring("data: ".length())))
                .forEach(e -> text.append(e.path("choices").path(0).path("text").asText()));
        assertThat(text.toString()).isEqualTo(wholeText(tokens));
        assertThat(reply.body()).contains("data: [DONE]");
    }

    static JsonNode json(String text) {
        try {
            return Json.mapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String bookingPath() {
        return "/services/" + ProcessFleet.SERVICE + "/bookings";
    }

    static LoopbackHttp.Header key(String key) {
        return new LoopbackHttp.Header("Idempotency-Key", key);
    }

    static LoopbackHttp.Header timeout(long millis) {
        return new LoopbackHttp.Header("X-Timeout-Millis", Long.toString(millis));
    }

    final Reply book(int entry, String key) {
        return mFleet.http()
                .call("POST", mFleet.entryPort(entry), bookingPath(), "\"" + key + "\"", key(key));
    }

    /** How often a booking ran. */
    final int runs(String key) {
        String book =
                mFleet.http()
                        .call("GET", mFleet.backendServerPort(shape().engines()), "/book", "")
                        .body();
        return json(book).path("\"" + key + "\"").asInt(0);
    }

    final void fault(int port, String fault) {
        mFleet.http().call("POST", port, "/fault", fault);
    }

    final JsonNode status() {
        return json(mFleet.admin(0, "GET", "/status", "").body());
    }

    final int loaded(String model) {
        for (JsonNode each : status().path("models")) {
            if (each.path("model").asText().equals(model)) {
                return each.path("loaded").asInt();
            }
        }
        return 0;
    }

    /** The instance that holds a model. */
    final String holder(String model) {
        for (JsonNode each : status().path("models")) {
            if (each.path("model").asText().equals(model)) {
                return each.path("where").path(0).asText();
            }
        }
        return "";
    }

    /** Index of an agent by its instance id. */
    static int index(String agent) {
        return Integer.parseInt(agent.substring("agent-".length()));
    }

    /** A counter of the process with an HTTP port. */
    final long counter(int port, String name) {
        String metrics = mFleet.http().call("GET", port, "/metrics", "").body();
        return json(metrics).path("counters").path(name).path("count").asLong();
    }

    final JsonNode census() {
        return json(mFleet.http().call("GET", mFleet.weightStorePort(), "/census", "").body());
    }

    final void assertWithinLimits(int limit) {
        JsonNode census = census();
        census.path("most").forEach(most -> assertThat(most.asInt()).isLessThanOrEqualTo(limit));
        assertThat(census.path("overcommits").asInt()).isZero();
    }
}

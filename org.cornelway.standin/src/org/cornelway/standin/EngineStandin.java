package org.cornelway.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cornelway.config.Json;

/**
 * A model engine that loads from the weight store, has finite memory and streams made-up tokens.
 *
 * <p>Each token names its prompt and its index, so that a reader can tell a whole answer from a cut
 * or crossed one. Confined to one event loop.
 */
public final class EngineStandin {
    private final Vertx mVertx;
    private final EngineProfile mProfile;
    private final WeightStoreStandin mStore;
    private final ReplicaCounter mCensus;
    private final FaultInjector mFaults;
    private final Map<String, Held> mModels = new TreeMap<>();
    private long mHighestFencingNumber;
    private double mSlowFactor = 1;
    private int mActive;

    /** A model in memory. */
    private static final class Held {
        private final long mBytes;
        private final Set<String> mAdapters = new TreeSet<>();
        private String mState = "LOADING";

        Held(long bytes) {
            mBytes = bytes;
        }
    }

    /**
     * @param profile sizes and speeds
     */
    public EngineStandin(
            Vertx vertx, EngineProfile profile, WeightStoreStandin store, ReplicaCounter census) {
        mVertx = vertx;
        mProfile = profile;
        mStore = store;
        mCensus = census;
        mFaults = new FaultInjector(vertx);
    }

    /** Adds the routes. */
    public void add(Router router) {
        mFaults.add(router);
        router.route().handler(BodyHandler.create(false));
        router.get("/v2").handler(mFaults.withFaults(this::server));
        router.post("/v2/repository/index").handler(mFaults.withFaults(this::index));
        router.post("/v2/repository/models/:model/load").handler(mFaults.withFaults(this::load));
        router.post("/v2/repository/models/:model/unload")
                .handler(mFaults.withFaults(this::unload));
        router.post("/v1/load_lora_adapter").handler(mFaults.withFaults(this::loadAdapter));
        router.post("/v1/unload_lora_adapter").handler(mFaults.withFaults(this::unloadAdapter));
        router.post("/v1/completions").handler(this::complete);
        router.post("/v1/chat/completions").handler(this::complete);
        router.post("/speed")
                .handler(
                        context -> {
                            mSlowFactor = body(context).path("slowFactor").asDouble(1);
                            context.response().end("{}");
                        });
    }

    private static JsonNode body(RoutingContext context) {
        try {
            return Json.mapper().readTree(context.body().buffer().getBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void server(RoutingContext context) {
        ObjectNode answer = Json.mapper().createObjectNode();
        answer.put("name", "engine-standin").put("memory_bytes", mProfile.memoryBytes());
        mFaults.respond(context, answer);
    }

    private void index(RoutingContext context) {
        ArrayNode answer = Json.mapper().createArrayNode();
        mModels.forEach(
                (name, held) -> {
                    ObjectNode entry = answer.addObject();
                    entry.put("name", name).put("state", held.mState).put("bytes", held.mBytes);
                    held.mAdapters.forEach(entry.putArray("adapters")::add);
                });
        mFaults.respond(context, answer);
    }

    /** Whether an order is refused for its fencing number; answers it if so. */
    private boolean isFenced(RoutingContext context) {
        long number = body(context).path("parameters").path("fencing_number").asLong();
        if (mProfile.checksFencing() && number < mHighestFencingNumber) {
            context.response().setStatusCode(409);
            mFaults.respond(
                    context,
                    Json.mapper().createObjectNode().put("highest", mHighestFencingNumber));
            return true;
        }
        mHighestFencingNumber = Math.max(mHighestFencingNumber, number);
        return false;
    }

    private void load(RoutingContext context) {
        String model = context.pathParam("model");
        if (isFenced(context)) {
            return;
        }
        if (mModels.containsKey(model)) {
            context.response().setStatusCode(400);
            mFaults.respond(context, Json.mapper().createObjectNode().put("error", "loaded"));
            return;
        }
        long bytes = mProfile.modelBytes();
        if (usedBytes() + bytes > mProfile.memoryBytes()) {
            mCensus.countOvercommit();
        }
        Held held = new Held(bytes);
        mModels.put(model, held);
        mCensus.add(model);
        mStore.load(
                () -> {
                    held.mState = "READY";
                    mFaults.respond(context, Json.mapper().createObjectNode());
                });
    }

    private long usedBytes() {
        return mModels.values().stream()
                .mapToLong(held -> held.mBytes + held.mAdapters.size() * mProfile.adapterBytes())
                .sum();
    }

    private void unload(RoutingContext context) {
        String model = context.pathParam("model");
        if (isFenced(context)) {
            return;
        }
        Held held = mModels.get(model);
        if (held == null) {
            mFaults.respond(context, Json.mapper().createObjectNode());
            return;
        }
        held.mState = "UNLOADING";
        mVertx.setTimer(
                mProfile.unloadMillis(),
                timer -> {
                    if (mModels.remove(model) != null) {
                        mCensus.remove(model);
                    }
                    mFaults.respond(context, Json.mapper().createObjectNode());
                });
    }

    private void loadAdapter(RoutingContext context) {
        if (isFenced(context)) {
            return;
        }
        String adapter = body(context).path("lora_name").asText();
        Held held = mModels.get(body(context).path("base_model_name").asText());
        mVertx.setTimer(
                mProfile.adapterLoadMillis(),
                timer -> {
                    if (held != null) {
                        held.mAdapters.add(adapter);
                    }
                    mFaults.respond(context, Json.mapper().createObjectNode());
                });
    }

    private void unloadAdapter(RoutingContext context) {
        if (isFenced(context)) {
            return;
        }
        String adapter = body(context).path("lora_name").asText();
        Held held = mModels.get(body(context).path("base_model_name").asText());
        if (held != null) {
            held.mAdapters.remove(adapter);
        }
        mFaults.respond(context, Json.mapper().createObjectNode());
    }

    private void complete(RoutingContext context) {
        JsonNode body = body(context);
        String model = body.path("model").asText();
        boolean ready =
                mModels.entrySet().stream()
                        .filter(entry -> entry.getValue().mState.equals("READY"))
                        .anyMatch(
                                entry ->
                                        entry.getKey().equals(model)
                                                || entry.getValue().mAdapters.contains(model));
        if (!ready) {
            context.response().setStatusCode(404).end("{\"error\":\"model not loaded\"}");
            return;
        }
        mActive++;
        HttpServerResponse response = context.response();
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        response.closeHandler(closed -> mActive--);
        boolean chat = context.request().path().contains("chat");
        String prompt = chat ? body.path("messages").toString() : body.path("prompt").asText("");
        int tokens = body.path("max_tokens").asInt(mProfile.defaultTokens());
        String tag = Integer.toHexString(prompt.hashCode());
        emit(new Stream(response, model, tag, chat, tokens), 0);
    }

    /** An answer under way. */
    private record Stream(
            HttpServerResponse response, String model, String tag, boolean chat, int tokens) {}

    private void emit(Stream stream, int index) {
        if (stream.response().closed()) {
            return;
        }
        if (index == stream.tokens()) {
            stream.response().end("data: [DONE]\n\n");
            return;
        }
        ObjectNode event = Json.mapper().createObjectNode();
        event.put("id", stream.tag()).put("object", "text_completion");
        event.put("model", stream.model());
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        String text = stream.tag() + "." + index + " ";
        if (stream.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        if (index == stream.tokens() - 1) {
            choice.put("finish_reason", "stop");
        }
        stream.response()
                .write(Buffer.buffer("data: ").appendBytes(Json.write(event)).appendString("\n\n"));
        mVertx.setTimer(tokenMillis(), timer -> emit(stream, index + 1));
    }

    private long tokenMillis() {
        int beyond = Math.max(0, mActive - mProfile.batchSize());
        double crowding = 1 + (double) beyond / mProfile.batchSize();
        return Math.max(1, Math.round(mProfile.tokenMillis() * mSlowFactor * crowding));
    }
}

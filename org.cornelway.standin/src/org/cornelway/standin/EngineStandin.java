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
 * A simulated model engine that loads models from the checkpoint store and streams tokens.
 *
 * <p>A load that exceeds the memory of the engine succeeds, but is counted as an overcommit. Each
 * token consists of a hash of the prompt and the index of the token, so that tests can detect
 * truncated responses and responses to another request. Confined to one event loop.
 */
public final class EngineStandin {
    private final Vertx mVertx;
    private final EngineProfile mProfile;
    private final CheckpointStoreStandin mCheckpointStore;
    private final ReplicaCounter mReplicas;
    private final FaultInjector mFaults;
    private final Map<String, ResidentModel> mModels = new TreeMap<>();
    private long mHighestFencingNumber;
    private double mSlowFactor = 1;
    private int mActiveResponses;

    /** A model that occupies memory. */
    private static final class ResidentModel {
        private final long mBytes;
        private final Set<String> mAdapters = new TreeSet<>();
        private String mState = "LOADING";

        ResidentModel(long bytes) {
            mBytes = bytes;
        }
    }

    /**
     * @param profile capacity and timing
     * @param checkpointStore store that the weights are loaded from
     * @param replicas counts the replicas and the overcommits
     */
    public EngineStandin(
            Vertx vertx,
            EngineProfile profile,
            CheckpointStoreStandin checkpointStore,
            ReplicaCounter replicas) {
        mVertx = vertx;
        mProfile = profile;
        mCheckpointStore = checkpointStore;
        mReplicas = replicas;
        mFaults = new FaultInjector(vertx);
    }

    /** Adds the HTTP routes of the engine. */
    public void addRoutes(Router router) {
        mFaults.addRoute(router);
        router.route().handler(BodyHandler.create(false));
        router.get("/v2").handler(mFaults.withFaults(this::serverInfo));
        router.post("/v2/repository/index").handler(mFaults.withFaults(this::listModels));
        router.post("/v2/repository/models/:model/load").handler(mFaults.withFaults(this::load));
        router.post("/v2/repository/models/:model/unload")
                .handler(mFaults.withFaults(this::unload));
        router.post("/v1/load_lora_adapter").handler(mFaults.withFaults(this::loadAdapter));
        router.post("/v1/unload_lora_adapter").handler(mFaults.withFaults(this::unloadAdapter));
        router.post("/v1/completions").handler(this::streamCompletion);
        router.post("/v1/chat/completions").handler(this::streamCompletion);
        router.post("/speed")
                .handler(
                        context -> {
                            mSlowFactor = body(context).path("slowFactor").asDouble(1);
                            context.response().end("{}");
                        });
    }

    private static JsonNode body(RoutingContext context) {
        try {
            return Json.lenientMapper().readTree(context.body().buffer().getBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serverInfo(RoutingContext context) {
        ObjectNode reply = Json.lenientMapper().createObjectNode();
        reply.put("name", "engine-standin").put("memory_bytes", mProfile.memoryBytes());
        mFaults.respond(context, reply);
    }

    private void listModels(RoutingContext context) {
        ArrayNode reply = Json.lenientMapper().createArrayNode();
        mModels.forEach(
                (name, resident) -> {
                    ObjectNode entry = reply.addObject();
                    entry.put("name", name)
                            .put("state", resident.mState)
                            .put("bytes", resident.mBytes);
                    resident.mAdapters.forEach(entry.putArray("adapters")::add);
                });
        mFaults.respond(context, reply);
    }

    /**
     * Rejects an order with a stale fencing number if the engine checks fencing numbers; otherwise
     * records the fencing number.
     *
     * @return whether the order was rejected
     */
    private boolean rejectIfFenced(RoutingContext context) {
        long fencingNumber = body(context).path("parameters").path("fencing_number").asLong();
        if (mProfile.checksFencing() && fencingNumber < mHighestFencingNumber) {
            context.response().setStatusCode(409);
            mFaults.respond(
                    context,
                    Json.lenientMapper().createObjectNode().put("highest", mHighestFencingNumber));
            return true;
        }
        mHighestFencingNumber = Math.max(mHighestFencingNumber, fencingNumber);
        return false;
    }

    private void load(RoutingContext context) {
        String model = context.pathParam("model");
        if (rejectIfFenced(context)) {
            return;
        }
        if (mModels.containsKey(model)) {
            context.response().setStatusCode(400);
            mFaults.respond(
                    context, Json.lenientMapper().createObjectNode().put("error", "loaded"));
            return;
        }
        long bytes = mProfile.modelBytes();
        if (usedBytes() + bytes > mProfile.memoryBytes()) {
            mReplicas.countOvercommit();
        }
        ResidentModel resident = new ResidentModel(bytes);
        mModels.put(model, resident);
        mReplicas.add(model);
        mCheckpointStore.load(
                () -> {
                    resident.mState = "READY";
                    mFaults.respond(context, Json.lenientMapper().createObjectNode());
                });
    }

    private long usedBytes() {
        return mModels.values().stream()
                .mapToLong(
                        resident ->
                                resident.mBytes
                                        + resident.mAdapters.size() * mProfile.adapterBytes())
                .sum();
    }

    private void unload(RoutingContext context) {
        String model = context.pathParam("model");
        if (rejectIfFenced(context)) {
            return;
        }
        ResidentModel resident = mModels.get(model);
        if (resident == null) {
            mFaults.respond(context, Json.lenientMapper().createObjectNode());
            return;
        }
        resident.mState = "UNLOADING";
        mVertx.setTimer(
                mProfile.unloadMillis(),
                timer -> {
                    if (mModels.remove(model) != null) {
                        mReplicas.remove(model);
                    }
                    mFaults.respond(context, Json.lenientMapper().createObjectNode());
                });
    }

    private void loadAdapter(RoutingContext context) {
        if (rejectIfFenced(context)) {
            return;
        }
        String adapter = body(context).path("lora_name").asText();
        ResidentModel resident = mModels.get(body(context).path("base_model_name").asText());
        mVertx.setTimer(
                mProfile.adapterLoadMillis(),
                timer -> {
                    if (resident != null) {
                        resident.mAdapters.add(adapter);
                    }
                    mFaults.respond(context, Json.lenientMapper().createObjectNode());
                });
    }

    private void unloadAdapter(RoutingContext context) {
        if (rejectIfFenced(context)) {
            return;
        }
        String adapter = body(context).path("lora_name").asText();
        ResidentModel resident = mModels.get(body(context).path("base_model_name").asText());
        if (resident != null) {
            resident.mAdapters.remove(adapter);
        }
        mFaults.respond(context, Json.lenientMapper().createObjectNode());
    }

    private void streamCompletion(RoutingContext context) {
        JsonNode body = body(context);
        String model = body.path("model").asText();
        boolean isReady =
                mModels.entrySet().stream()
                        .filter(entry -> entry.getValue().mState.equals("READY"))
                        .anyMatch(
                                entry ->
                                        entry.getKey().equals(model)
                                                || entry.getValue().mAdapters.contains(model));
        if (!isReady) {
            context.response().setStatusCode(404).end("{\"error\":\"model not loaded\"}");
            return;
        }
        mActiveResponses++;
        HttpServerResponse response = context.response();
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        response.closeHandler(closed -> mActiveResponses--);
        boolean isChat = context.request().path().contains("chat");
        String prompt = isChat ? body.path("messages").toString() : body.path("prompt").asText("");
        int tokenCount = body.path("max_tokens").asInt(mProfile.defaultTokens());
        String promptHash = Integer.toHexString(prompt.hashCode());
        writeToken(new TokenStream(response, model, promptHash, isChat, tokenCount), 0);
    }

    /** A response that is being streamed. */
    private record TokenStream(
            HttpServerResponse response,
            String model,
            String promptHash,
            boolean isChat,
            int tokenCount) {}

    private void writeToken(TokenStream stream, int index) {
        if (stream.response().closed()) {
            return;
        }
        if (index == stream.tokenCount()) {
            stream.response().end("data: [DONE]\n\n");
            return;
        }
        ObjectNode event = Json.lenientMapper().createObjectNode();
        event.put("id", stream.promptHash()).put("object", "text_completion");
        event.put("model", stream.model());
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        String text = stream.promptHash() + "." + index + " ";
        if (stream.isChat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        if (index == stream.tokenCount() - 1) {
            choice.put("finish_reason", "stop");
        }
        stream.response()
                .write(Buffer.buffer("data: ").appendBytes(Json.write(event)).appendString("\n\n"));
        mVertx.setTimer(tokenMillis(), timer -> writeToken(stream, index + 1));
    }

    /**
     * Returns the time until the next token. It grows with the number of active responses above the
     * batch size.
     */
    private long tokenMillis() {
        int excessResponses = Math.max(0, mActiveResponses - mProfile.batchSize());
        double slowdown = 1 + (double) excessResponses / mProfile.batchSize();
        return Math.max(1, Math.round(mProfile.tokenMillis() * mSlowFactor * slowdown));
    }
}

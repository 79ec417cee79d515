package org.cornelway.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelway.config.Json;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.EngineStatus;
import org.cornelway.platform.ModelEngine;
import org.cornelway.platform.OrderOutcome;

/**
 * Model engine that is called over HTTP.
 *
 * <p>Completions use the completions API with server-sent events. Orders for models use the model
 * repository extension of the Open Inference Protocol; orders for adapters use vLLM's API for LoRA
 * adapters.
 *
 * <p>Invariant: each request has a connection of its own, since an engine may answer a request
 * twice and need not state which request an answer belongs to. Thread-safe.
 */
public final class HttpModelEngine implements ModelEngine {
    private static final String JSON = "application/json";
    private static final String DATA = "data:";
    private static final String END_OF_STREAM = "[DONE]";
    private static final int MAX_CONNECTIONS = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long STATUS_TIMEOUT_MILLIS = 3_000;

    /** Longest line of a stream that is accepted. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final int CONFLICT = 409;

    private final HttpEndpointClient mHttp;
    private final long mOrderTimeoutMillis;

    /**
     * @param orderTimeoutMillis time after which an order counts as unconfirmed
     */
    public HttpModelEngine(Vertx vertx, HttpEndpoint endpoint, long orderTimeoutMillis) {
        mHttp = new HttpEndpointClient(vertx, endpoint, MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        mOrderTimeoutMillis = orderTimeoutMillis;
    }

    @Override
    public Single<EngineStatus> status() {
        Single<JsonNode> server = requestJson("GET", "/v2", new byte[0]);
        Single<JsonNode> index =
                requestJson("POST", "/v2/repository/index", Json.write(newObject()));
        return server.zipWith(index, HttpModelEngine::toStatus);
    }

    @Override
    public Single<OrderOutcome> order(EngineOrder order) {
        return mHttp.send("POST", orderPath(order), JSON, orderBody(order), mOrderTimeoutMillis)
                .map(HttpModelEngine::toOutcome)
                .onErrorReturn(HttpModelEngine::failedOrder);
    }

    @Override
    public Flowable<byte[]> runCompletion(CompletionCall call) {
        return Flowable.create(
                emitter ->
                        mHttp.openRequest("POST", call.path())
                                .subscribe(
                                        request -> stream(request, call, emitter),
                                        emitter::tryOnError),
                BackpressureStrategy.BUFFER);
    }

    private static void stream(
            HttpClientRequest request, CompletionCall call, FlowableEmitter<byte[]> emitter)
            throws IOException {
        ObjectNode body = (ObjectNode) Json.lenientMapper().readTree(call.body());
        body.put("model", call.adapter().isEmpty() ? call.model() : call.adapter());
        body.put("stream", true);
        body.put("priority", call.priority());
        AtomicBoolean ended = new AtomicBoolean();
        emitter.setCancellable(
                () -> {
                    if (!ended.get()) {
                        request.reset();
                    }
                });
        request.putHeader("Content-Type", JSON)
                .putHeader("X-Request-Id", call.requestId())
                .send(Buffer.buffer(Json.write(body)))
                .onSuccess(response -> readEvents(response, emitter, ended))
                .onFailure(emitter::tryOnError);
    }

    private static void readEvents(
            HttpClientResponse response, FlowableEmitter<byte[]> emitter, AtomicBoolean ended) {
        if (response.statusCode() != 200) {
            emitter.tryOnError(new IOException("engine answered status " + response.statusCode()));
            return;
        }
        RecordParser lines =
                RecordParser.newDelimited("\n", line -> emitEvent(line, emitter, ended))
                        .maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(e -> emitter.tryOnError(new IOException(e)));
        response.handler(lines)
                .exceptionHandler(emitter::tryOnError)
                .endHandler(
                        end -> emitter.tryOnError(new IOException("answer without a final mark")));
    }

    private static void emitEvent(
            Buffer line, FlowableEmitter<byte[]> emitter, AtomicBoolean ended) {
        String text = line.toString(StandardCharsets.UTF_8).trim();
        if (!text.startsWith(DATA)) {
            return;
        }
        String data = text.substring(DATA.length()).trim();
        if (data.equals(END_OF_STREAM)) {
            ended.set(true);
            emitter.onComplete();
        } else {
            emitter.onNext(data.getBytes(StandardCharsets.UTF_8));
        }
    }

    private Single<JsonNode> requestJson(String method, String path, byte[] body) {
        return mHttp.send(method, path, JSON, body, STATUS_TIMEOUT_MILLIS)
                .map(
                        reply -> {
                            if (!reply.isSuccess()) {
                                throw new IOException(path + " answered status " + reply.status());
                            }
                            return Json.readDocument(reply.body());
                        });
    }

    private static EngineStatus toStatus(JsonNode server, JsonNode index) {
        List<EngineStatus.HeldModel> models = new ArrayList<>();
        for (JsonNode entry : index) {
            List<String> adapters = new ArrayList<>();
            entry.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
            models.add(
                    new EngineStatus.HeldModel(
                            entry.path("name").asText(),
                            entry.path("state").asText().equals("READY"),
                            entry.path("bytes").asLong(),
                            adapters));
        }
        return new EngineStatus(server.path("memory_bytes").asLong(), models);
    }

    private static String orderPath(EngineOrder order) {
        return switch (order.kind()) {
            case LOAD -> "/v2/repository/models/" + order.model() + "/load";
            case UNLOAD -> "/v2/repository/models/" + order.model() + "/unload";
            case LOAD_ADAPTER -> "/v1/load_lora_adapter";
            case UNLOAD_ADAPTER -> "/v1/unload_lora_adapter";
        };
    }

    private static byte[] orderBody(EngineOrder order) {
        ObjectNode body = newObject();
        body.putObject("parameters")
                .put("shard", order.shard())
                .put("fencing_number", order.fencingNumber());
        if (!order.adapter().isEmpty()) {
            body.put("lora_name", order.adapter()).put("base_model_name", order.model());
        }
        return Json.write(body);
    }

    private static OrderOutcome toOutcome(HttpReply reply) throws IOException {
        if (reply.isSuccess()) {
            return new OrderOutcome.Done();
        }
        if (reply.status() == CONFLICT) {
            JsonNode body = Json.readDocument(reply.body());
            return new OrderOutcome.Fenced(body.path("highest").asLong());
        }
        return new OrderOutcome.Rejected("the engine answered status " + reply.status());
    }

    private static OrderOutcome failedOrder(Throwable e) {
        String reason = String.valueOf(e.getMessage());
        return e instanceof NotSentException
                ? new OrderOutcome.Rejected(reason)
                : new OrderOutcome.Unconfirmed(reason);
    }

    private static ObjectNode newObject() {
        return Json.lenientMapper().createObjectNode();
    }
}

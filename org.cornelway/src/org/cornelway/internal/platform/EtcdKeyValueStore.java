package org.cornelway.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
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
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyRevision;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * Key-value store that uses the JSON form of the etcd v3 API.
 *
 * <p>Thread-safe. Each call except a watch ends within twice the timeout given to the constructor.
 */
public final class EtcdKeyValueStore implements KeyValueStore {
    private static final String JSON_CONTENT_TYPE = "application/json";
    private static final int MAX_CONNECTIONS = 8;

    /** Longest line of a watch that is accepted; longer than all responses of other calls. */
    private static final int MAX_LINE_BYTES = 16 << 20;

    private final HttpEndpointClient mHttp;
    private final long mTimeoutMillis;

    /**
     * @param timeoutMillis time limit of each call for the connection, and again for the response
     */
    public EtcdKeyValueStore(Vertx vertx, HttpEndpoint endpoint, long timeoutMillis) {
        mHttp = new HttpEndpointClient(vertx, endpoint, MAX_CONNECTIONS, timeoutMillis);
        mTimeoutMillis = timeoutMillis;
    }

    /** Returns the number of bytes exchanged with the service, not counting watches. */
    public long transferredBytes() {
        return mHttp.transferredBytes();
    }

    @Override
    public Single<Optional<KeyValue>> get(String key) {
        return range(newObject().put("key", base64(key)))
                .map(list -> list.isEmpty() ? Optional.empty() : Optional.of(list.get(0)));
    }

    @Override
    public Single<List<KeyValue>> list(String prefix) {
        return range(
                newObject()
                        .put("key", base64(prefix))
                        .put("range_end", base64(endOfPrefix(prefix))));
    }

    @Override
    public Single<List<KeyRevision>> revisions(String prefix) {
        ObjectNode request =
                newObject()
                        .put("key", base64(prefix))
                        .put("range_end", base64(endOfPrefix(prefix)));
        return range(request.put("keys_only", true))
                .map(
                        list ->
                                list.stream()
                                        .map(kv -> new KeyRevision(kv.key(), kv.revision()))
                                        .toList());
    }

    @Override
    public Single<SwapResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        ObjectNode transaction = newConditionalTransaction(key, expectedRevision);
        ObjectNode put = newObject().put("key", base64(key));
        put.put("value", Base64.getEncoder().encodeToString(value));
        if (leaseId != NO_LEASE) {
            put.put("lease", Long.toString(leaseId));
        }
        transaction.putArray("success").addObject().set("request_put", put);
        transaction
                .putArray("failure")
                .addObject()
                .set("request_range", newObject().put("key", base64(key)));
        return post("/v3/kv/txn", transaction)
                .map(EtcdKeyValueStore::swapResult)
                .onErrorReturn(EtcdKeyValueStore::swapFailure);
    }

    private static ObjectNode newConditionalTransaction(String key, long expectedRevision) {
        ObjectNode transaction = newObject();
        transaction
                .putArray("compare")
                .addObject()
                .put("key", base64(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        return transaction;
    }

    @Override
    public Completable delete(String key, long expectedRevision) {
        ObjectNode transaction = newConditionalTransaction(key, expectedRevision);
        transaction
                .putArray("success")
                .addObject()
                .set("request_delete_range", newObject().put("key", base64(key)));
        return post("/v3/kv/txn", transaction).ignoreElement();
    }

    @Override
    public Single<Long> grantLease(long ttlSeconds) {
        return post("/v3/lease/grant", newObject().put("TTL", Long.toString(ttlSeconds)))
                .map(node -> node.path("ID").asLong());
    }

    @Override
    public Single<Boolean> keepAlive(long leaseId) {
        return post("/v3/lease/keepalive", newObject().put("ID", Long.toString(leaseId)))
                .map(node -> node.path("result").path("TTL").asLong() > 0);
    }

    @Override
    public Completable revokeLease(long leaseId) {
        return post("/v3/lease/revoke", newObject().put("ID", Long.toString(leaseId)))
                .ignoreElement();
    }

    @Override
    public Flowable<KeyValue> watch(String prefix, long afterRevision) {
        ObjectNode createRequest = newObject();
        createRequest
                .putObject("create_request")
                .put("key", base64(prefix))
                .put("range_end", base64(endOfPrefix(prefix)))
                .put("start_revision", Long.toString(afterRevision + 1));
        return Flowable.create(
                emitter ->
                        mHttp.openRequest("POST", "/v3/watch")
                                .subscribe(
                                        request ->
                                                sendWatchRequest(
                                                        request,
                                                        Json.write(createRequest),
                                                        emitter),
                                        emitter::tryOnError),
                BackpressureStrategy.BUFFER);
    }

    private static void sendWatchRequest(
            HttpClientRequest request, byte[] body, FlowableEmitter<KeyValue> emitter) {
        emitter.setCancellable(request::reset);
        request.putHeader("Content-Type", JSON_CONTENT_TYPE)
                .send(Buffer.buffer(body))
                .onSuccess(response -> readEvents(response, emitter))
                .onFailure(emitter::tryOnError);
    }

    private static void readEvents(HttpClientResponse response, FlowableEmitter<KeyValue> emitter) {
        RecordParser lines =
                RecordParser.newDelimited("\n", line -> emitWrites(line, emitter))
                        .maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(e -> emitter.tryOnError(new IOException(e)));
        response.handler(lines)
                .exceptionHandler(emitter::tryOnError)
                .endHandler(
                        end -> emitter.tryOnError(new IOException("the service ended the watch")));
    }

    /** Emits the writes that a line of the response contains; skips the deletions. */
    private static void emitWrites(Buffer line, FlowableEmitter<KeyValue> emitter) {
        if (line.length() == 0) {
            return;
        }
        try {
            JsonNode events =
                    Json.lenientMapper().readTree(line.getBytes()).path("result").path("events");
            for (JsonNode event : events) {
                if (!"DELETE".equals(event.path("type").asText())) {
                    emitter.onNext(toKeyValue(event.path("kv")));
                }
            }
        } catch (IOException e) {
            emitter.tryOnError(e);
        }
    }

    private Single<List<KeyValue>> range(ObjectNode request) {
        return post("/v3/kv/range", request)
                .map(
                        node -> {
                            List<KeyValue> list = new ArrayList<>();
                            node.path("kvs").forEach(kv -> list.add(toKeyValue(kv)));
                            return list;
                        });
    }

    private Single<JsonNode> post(String path, ObjectNode body) {
        return mHttp.send("POST", path, JSON_CONTENT_TYPE, Json.write(body), mTimeoutMillis)
                .map(
                        reply -> {
                            if (!reply.isSuccess()) {
                                throw new IOException(path + " answered status " + reply.status());
                            }
                            return Json.readDocument(reply.body());
                        });
    }

    private static SwapResult swapResult(JsonNode node) {
        if (node.path("succeeded").asBoolean()) {
            return new SwapResult.Swapped(node.path("header").path("revision").asLong());
        }
        JsonNode current = node.path("responses").path(0).path("response_range").path("kvs");
        return new SwapResult.Conflict(
                current.isEmpty() ? Optional.empty() : Optional.of(toKeyValue(current.get(0))));
    }

    private static SwapResult swapFailure(Throwable e) {
        String reason = String.valueOf(e.getMessage());
        return e instanceof NotSentException
                ? new SwapResult.NotApplied(reason)
                : new SwapResult.Ambiguous(reason);
    }

    private static KeyValue toKeyValue(JsonNode kv) {
        Base64.Decoder decoder = Base64.getDecoder();
        String key = new String(decoder.decode(kv.path("key").asText()), StandardCharsets.UTF_8);
        byte[] value = decoder.decode(kv.path("value").asText());
        return new KeyValue(key, value, kv.path("mod_revision").asLong());
    }

    private static ObjectNode newObject() {
        return Json.lenientMapper().createObjectNode();
    }

    private static String base64(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the exclusive end of the range of keys that start with a prefix. */
    private static String endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }
}

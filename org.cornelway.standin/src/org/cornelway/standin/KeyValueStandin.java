package org.cornelway.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.SwapResult;

/**
 * Serves the subset of the JSON form of the etcd v3 API that the system uses. {@code GET /calls}
 * returns the number of calls by path and the number of open watches.
 *
 * <p>Confined to one event loop.
 */
public final class KeyValueStandin {
    private final KeyValueState mState;
    private final FaultInjector mFaults;
    private final Map<String, Long> mCallCounts = new TreeMap<>();
    private int mOpenWatches;

    /**
     * @param state keys, values and leases that are served
     */
    public KeyValueStandin(Vertx vertx, KeyValueState state) {
        mState = state;
        mFaults = new FaultInjector(vertx);
    }

    /** Adds the HTTP routes of the service. */
    public void addRoutes(Router router) {
        mFaults.addRoute(router);
        router.route("/v3/*").handler(BodyHandler.create(false).setBodyLimit(4 << 20));
        addOperation(router, "/v3/kv/range", this::range);
        addOperation(router, "/v3/kv/txn", this::transaction);
        addOperation(router, "/v3/lease/grant", this::grant);
        addOperation(router, "/v3/lease/keepalive", this::keepAlive);
        addOperation(router, "/v3/lease/revoke", this::revoke);
        router.post("/v3/watch").handler(mFaults.withFaults(this::watch));
        router.get("/calls")
                .handler(
                        context -> {
                            mCallCounts.put("openWatches", (long) mOpenWatches);
                            context.response().end(Buffer.buffer(Json.write(mCallCounts)));
                        });
    }

    /** Executes requests of one type. */
    private interface Operation {
        /** Executes a request and returns the body of the response. */
        ObjectNode execute(JsonNode request);
    }

    private void addOperation(Router router, String path, Operation operation) {
        router.post(path)
                .handler(
                        mFaults.withFaults(
                                context -> {
                                    mCallCounts.merge(path, 1L, Long::sum);
                                    mFaults.respond(context, operation.execute(readBody(context)));
                                }));
    }

    private static JsonNode readBody(RoutingContext context) {
        try {
            return Json.lenientMapper().readTree(context.body().buffer().getBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ObjectNode range(JsonNode request) {
        String key = decodeBase64(request, "key");
        ObjectNode reply = replyWithHeader();
        if (request.has("range_end")) {
            // Clients set range_end only to read all keys that have the given key as a prefix.
            boolean keysOnly = request.path("keys_only").asBoolean();
            for (KeyValue value : mState.list(key)) {
                byte[] returnedValue = keysOnly ? new byte[0] : value.value();
                reply.withArray("kvs")
                        .add(toJson(new KeyValue(value.key(), returnedValue, value.revision())));
            }
        } else {
            mState.get(key).ifPresent(value -> reply.withArray("kvs").add(toJson(value)));
        }
        return reply;
    }

    private ObjectNode transaction(JsonNode request) {
        JsonNode compare = request.path("compare").path(0);
        JsonNode success = request.path("success").path(0);
        String key = decodeBase64(compare, "key");
        long expectedRevision = compare.path("mod_revision").asLong();
        if (success.has("request_delete_range")) {
            boolean deleted = mState.delete(key, expectedRevision);
            return replyWithHeader().put("succeeded", deleted);
        }
        JsonNode put = success.path("request_put");
        byte[] value = Base64.getDecoder().decode(put.path("value").asText());
        SwapResult result =
                mState.compareAndSwap(key, expectedRevision, value, put.path("lease").asLong());
        ObjectNode reply = replyWithHeader().put("succeeded", result instanceof SwapResult.Swapped);
        if (result instanceof SwapResult.Conflict conflict) {
            ObjectNode range = reply.putArray("responses").addObject().putObject("response_range");
            conflict.current().ifPresent(current -> range.putArray("kvs").add(toJson(current)));
        }
        return reply;
    }

    private ObjectNode grant(JsonNode request) {
        long ttl = request.path("TTL").asLong();
        return replyWithHeader()
                .put("ID", Long.toString(mState.grantLease(ttl)))
                .put("TTL", "" + ttl);
    }

    private ObjectNode keepAlive(JsonNode request) {
        boolean alive = mState.keepAlive(request.path("ID").asLong());
        ObjectNode reply = Json.lenientMapper().createObjectNode();
        // The client checks only whether the TTL is positive; 0 means that the lease has expired.
        reply.putObject("result").put("TTL", alive ? "1" : "0");
        return reply;
    }

    private ObjectNode revoke(JsonNode request) {
        mState.revokeLease(request.path("ID").asLong());
        return replyWithHeader();
    }

    private void watch(RoutingContext context) {
        mCallCounts.merge("/v3/watch", 1L, Long::sum);
        mOpenWatches++;
        JsonNode create = readBody(context).path("create_request");
        context.response().setChunked(true);
        context.response().write("{\"result\":{\"created\":true}}\n");
        Context eventLoop = context.vertx().getOrCreateContext();
        Runnable cancel =
                mState.watch(
                        decodeBase64(create, "key"),
                        create.path("start_revision").asLong() - 1,
                        value -> eventLoop.runOnContext(v -> sendEvent(context, value)));
        context.response()
                .closeHandler(
                        closed -> {
                            mOpenWatches--;
                            cancel.run();
                        });
    }

    /**
     * Sends a written value to the client of a watch. Deletions are not reported, so that the type
     * of all events is {@code PUT}.
     */
    private static void sendEvent(RoutingContext context, KeyValue value) {
        ObjectNode message = Json.lenientMapper().createObjectNode();
        message.putObject("result")
                .putArray("events")
                .addObject()
                .put("type", "PUT")
                .set("kv", toJson(value));
        if (!context.response().closed()) {
            context.response().write(Buffer.buffer(Json.write(message)).appendString("\n"));
        }
    }

    private ObjectNode replyWithHeader() {
        ObjectNode reply = Json.lenientMapper().createObjectNode();
        reply.putObject("header").put("revision", Long.toString(mState.revision()));
        return reply;
    }

    private static ObjectNode toJson(KeyValue value) {
        Base64.Encoder encoder = Base64.getEncoder();
        return Json.lenientMapper()
                .createObjectNode()
                .put("key", encoder.encodeToString(value.key().getBytes(StandardCharsets.UTF_8)))
                .put("value", encoder.encodeToString(value.value()))
                .put("mod_revision", Long.toString(value.revision()));
    }

    private static String decodeBase64(JsonNode node, String field) {
        return new String(
                Base64.getDecoder().decode(node.path(field).asText()), StandardCharsets.UTF_8);
    }
}

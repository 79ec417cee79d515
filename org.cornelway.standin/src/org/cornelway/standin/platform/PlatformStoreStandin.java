package org.cornelway.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.time.Clock;

/**
 * A stand-in for the platform's store, over HTTP.
 *
 * <p>Its state is confined to its event loop; tests reach it through {@link #run}.
 */
public final class PlatformStoreStandin implements AutoCloseable {
    private static final long POLL_MILLIS = 10;
    private static final long CALL_SECONDS = 10;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION = 412;
    private static final int UNAVAILABLE = 503;

    private final Vertx mVertx;
    private final HttpServer mServer;
    private final StoreState mState = new StoreState(Clock.system());
    private final io.vertx.core.Context mContext;
    private volatile Fault mFault = Fault.NONE;

    /** How the store is out of order. */
    public enum Fault {
        /** It is not. */
        NONE,
        /** It answers 503 and does nothing. */
        UNAVAILABLE,
        /** It gives no answer and does nothing. */
        NO_RESPONSE,
        /** It does what it is asked and gives no answer to writes. */
        WRITE_RESPONSES_LOST
    }

    /** Listens on a free port of the loopback address. */
    public PlatformStoreStandin(Vertx vertx) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mServer = vertx.createHttpServer().requestHandler(this::handle);
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        mContext.runOnContext(
                start ->
                        mServer.listen(0, "127.0.0.1")
                                .onSuccess(listening::complete)
                                .onFailure(listening::completeExceptionally));
        listening.orTimeout(CALL_SECONDS, TimeUnit.SECONDS).join();
    }

    /** The port. */
    public int port() {
        return mServer.actualPort();
    }

    /** Puts the store out of order. */
    public void injectFault(Fault fault) {
        mFault = fault;
    }

    /** Works on the state, on its event loop. */
    public <T> T withState(java.util.function.Function<StoreState, T> work) {
        CompletableFuture<T> done = new CompletableFuture<>();
        mContext.runOnContext(start -> done.complete(work.apply(mState)));
        return done.orTimeout(CALL_SECONDS, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
        mServer.close().toCompletionStage().toCompletableFuture().join();
    }

    private void handle(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            if (mFault == Fault.UNAVAILABLE) {
                                request.response().setStatusCode(UNAVAILABLE).end();
                            } else if (mFault != Fault.NO_RESPONSE) {
                                route(request, body);
                            }
                        });
    }

    private void route(HttpServerRequest request, Buffer body) {
        String path = request.path();
        try {
            switch (request.method()
                    + " "
                    + (path.lastIndexOf('/') > 0
                            ? path.substring(0, path.lastIndexOf('/'))
                            : path)) {
                case "GET /kv-key" -> key(request);
                case "GET /kv-range" -> range(request);
                case "GET /kv-watch" ->
                        watch(
                                request,
                                System.nanoTime()
                                        + TimeUnit.MILLISECONDS.toNanos(
                                                Long.parseLong(request.getParam("WaitMs"))));
                case "POST /kv-txn" -> transaction(request, body);
                case "POST /kv-lease" -> lease(request, body);
                case "POST /kv-keep" ->
                        write(request, mState.keepAlive(id(path)) ? OK : NOT_FOUND, object());
                case "DELETE /kv-lease-end" -> {
                    mState.revoke(id(path));
                    write(request, OK, object());
                }
                default -> request.response().setStatusCode(NOT_FOUND).end();
            }
        } catch (IOException e) {
            request.response().setStatusCode(400).end();
        }
    }

    private static long id(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static ObjectNode object() {
        return Json.mapper().createObjectNode();
    }

    private static ObjectNode json(StoreState.Item item) {
        return object().put("Key", item.key())
                .put("Value", Base64.getEncoder().encodeToString(item.value()))
                .put("Revision", item.revision())
                .put("Created", item.createRevision())
                .put("Lease", item.leaseId());
    }

    private void key(HttpServerRequest request) {
        Optional<StoreState.Item> item = mState.get(request.getParam("Key"));
        if (item.isEmpty()) {
            request.response().setStatusCode(NOT_FOUND).end();
        } else {
            answer(request, OK, json(item.get()).put("CurrentRev", mState.revision()));
        }
    }

    private void range(HttpServerRequest request) {
        String after = request.getParam("after");
        ObjectNode reply = object().put("HasMore", false).put("CurrentRev", mState.revision());
        ArrayNode items = reply.putArray("items");
        mState.list(request.getParam("Prefix"), after == null ? "" : after)
                .forEach(item -> items.add(json(item)));
        answer(request, OK, reply);
    }

    private void watch(HttpServerRequest request, long untilNanos) {
        Optional<List<StoreState.Event>> events =
                mState.events(
                        request.getParam("Prefix"), Long.parseLong(request.getParam("after")));
        boolean late = System.nanoTime() >= untilNanos;
        if (events.isPresent() && events.get().isEmpty() && !late) {
            mVertx.setTimer(POLL_MILLIS, timer -> watch(request, untilNanos));
            return;
        }
        if (events.isEmpty()) {
            answer(request, GONE, object());
            return;
        }
        ObjectNode reply = object().put("CurrentRev", mState.revision());
        ArrayNode list = reply.putArray("events");
        for (StoreState.Event event : events.get()) {
            list.add(
                    event.item()
                            .map(PlatformStoreStandin::json)
                            .orElseGet(
                                    () ->
                                            object().put("Key", event.key())
                                                    .put("Revision", event.revision())
                                                    .put("Deleted", true)));
        }
        answer(request, OK, reply);
    }

    private void transaction(HttpServerRequest request, Buffer body) throws IOException {
        JsonNode json = Json.mapper().readTree(body.getBytes());
        ObjectNode reply = object();
        ArrayNode items = reply.putArray("items");
        boolean holds = true;
        for (JsonNode row : json.path("Expected")) {
            Optional<StoreState.Item> item = mState.get(row.path("Key").asText());
            long revision = item.map(StoreState.Item::revision).orElse(0L);
            holds &= revision == row.path("Revision").asLong();
            items.add(item.map(PlatformStoreStandin::json).orElseGet(PlatformStoreStandin::object));
        }
        if (!holds) {
            write(request, PRECONDITION, reply);
            return;
        }
        for (JsonNode put : json.path("Puts")) {
            long lease = put.path("Lease").asLong();
            if (lease != 0 && !mState.hasLease(lease)) {
                write(request, NOT_FOUND, object());
                return;
            }
            byte[] value = Base64.getDecoder().decode(put.path("Value").asText());
            mState.put(put.path("Key").asText(), value, lease);
        }
        json.path("Remove").forEach(key -> mState.remove(key.asText()));
        write(request, OK, object().put("Revision", mState.revision()));
    }

    private void lease(HttpServerRequest request, Buffer body) throws IOException {
        long ttl = Json.mapper().readTree(body.getBytes()).path("TtlMs").asLong();
        write(request, OK, object().put("Lease", mState.grant(ttl)).put("TtlMs", ttl));
    }

    /** Answers a write, unless such answers are lost. */
    private void write(HttpServerRequest request, int status, ObjectNode reply) {
        if (mFault != Fault.WRITE_RESPONSES_LOST) {
            answer(request, status, reply);
        }
    }

    private static void answer(HttpServerRequest request, int status, ObjectNode reply) {
        HttpServerResponse response = request.response();
        if (!response.closed()) {
            response.setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(Json.write(reply)));
        }
    }
}

package org.cornelway.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.time.Clock;

/**
 * A stand-in for the platform's key-value service, served over HTTP.
 *
 * <p>Its state is confined to its event loop; tests access it through {@link #withState}.
 */
public final class PlatformStoreStandin implements AutoCloseable {
    /** Interval at which a waiting watch request checks for events. */
    private static final long WATCH_POLL_MILLIS = 10;

    /** Time limit for the start of the service and for {@link #withState}. */
    private static final long TIMEOUT_SECONDS = 10;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;

    private final Vertx mVertx;
    private final HttpServer mServer;
    private final Map<String, HttpServer> mClientServers = new ConcurrentHashMap<>();
    private final Set<String> mRejected = ConcurrentHashMap.newKeySet();
    private StoreState mState = new StoreState(Clock.system());
    private final io.vertx.core.Context mContext;
    private volatile Fault mFault = Fault.NONE;

    /** Rises by one each time the service comes back from a copy; in all answers. */
    private volatile long mEra = 1;

    /** A fault that a test injects into the service. */
    public enum Fault {
        /** The service works normally. */
        NONE,
        /** The service rejects every request with status 503, without executing it. */
        UNAVAILABLE,
        /**
         * The service ignores every request, also a watch that waits: it neither executes it nor
         * sends a response, even after the fault has ended.
         */
        NO_RESPONSE,
        /**
         * The service executes every request but sends no response to writes and lease requests.
         */
        WRITE_RESPONSES_LOST
    }

    /** Starts the service on a free port of the loopback address; returns once it is listening. */
    public PlatformStoreStandin(Vertx vertx) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mServer = listen(this::handle);
    }

    private HttpServer listen(Handler<HttpServerRequest> handler) {
        HttpServer server = mVertx.createHttpServer().requestHandler(handler);
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        server.listen(0, "127.0.0.1")
                                .onSuccess(listening::complete)
                                .onFailure(listening::completeExceptionally));
        return listening.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /**
     * Returns the port on which the service serves one client, so that it can reject this client
     * alone; see {@link #reject}. Listens on it from the first call on.
     */
    public int portFor(String client) {
        return mClientServers
                .computeIfAbsent(client, name -> listen(request -> handle(name, request)))
                .actualPort();
    }

    /**
     * Rejects every request of a client that arrives from now on with status 503, without executing
     * it, until {@link #admit}. Thread-safe.
     */
    public void reject(String client) {
        mRejected.add(client);
    }

    /** Ends the rejection of a client. Thread-safe. */
    public void admit(String client) {
        mRejected.remove(client);
    }

    private void handle(String client, HttpServerRequest request) {
        if (mRejected.contains(client)) {
            response(request).setStatusCode(UNAVAILABLE).end();
        } else {
            handle(request);
        }
    }

    /** The port that the service listens on. */
    public int port() {
        return mServer.actualPort();
    }

    /** Injects a fault that lasts until the next call; {@link Fault#NONE} ends it. Thread-safe. */
    public void injectFault(Fault fault) {
        mFault = fault;
    }

    /**
     * Applies a function to the state on the event loop and returns its result. Blocks the calling
     * thread, which must not be the event loop, for at most 10 seconds.
     */
    public <T> T withState(java.util.function.Function<StoreState, T> function) {
        CompletableFuture<T> done = new CompletableFuture<>();
        mContext.runOnContext(ignored -> done.complete(function.apply(mState)));
        return done.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Returns a copy of the state, for {@link #restore}. */
    public StoreState copy() {
        return withState(StoreState::copy);
    }

    /** Replaces the state by a copy of it: all that was written since the copy is lost. */
    public void restore(StoreState copy) {
        withState(
                state -> {
                    mState = copy;
                    mEra++;
                    return mEra;
                });
    }

    private HttpServerResponse response(HttpServerRequest request) {
        return request.response().putHeader("Store-Era", Long.toString(mEra));
    }

    @Override
    public void close() {
        mClientServers.values().forEach(server -> server.close().await());
        mServer.close().toCompletionStage().toCompletableFuture().join();
    }

    private void handle(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            if (mFault == Fault.UNAVAILABLE) {
                                response(request).setStatusCode(UNAVAILABLE).end();
                            } else if (mFault != Fault.NO_RESPONSE) {
                                route(request, body);
                            }
                        });
    }

    private void route(HttpServerRequest request, Buffer body) {
        String path = request.path();
        try {
            // Each operation has a path of one segment, which a lease id may follow.
            switch (request.method()
                    + " "
                    + (path.lastIndexOf('/') > 0
                            ? path.substring(0, path.lastIndexOf('/'))
                            : path)) {
                case "GET /kv-key" -> getItem(request);
                case "GET /kv-range" -> range(request);
                case "GET /kv-watch" ->
                        watch(
                                request,
                                System.nanoTime()
                                        + TimeUnit.MILLISECONDS.toNanos(
                                                Long.parseLong(request.getParam("WaitMs"))));
                case "POST /kv-txn" -> transaction(request, body);
                case "POST /kv-lease" -> grantLease(request, body);
                case "POST /kv-keep" ->
                        respondToWrite(
                                request,
                                mState.keepAlive(leaseId(path)) ? OK : NOT_FOUND,
                                object());
                case "DELETE /kv-lease-end" -> {
                    mState.revokeLease(leaseId(path));
                    respondToWrite(request, OK, object());
                }
                default -> response(request).setStatusCode(NOT_FOUND).end();
            }
        } catch (IOException e) {
            response(request).setStatusCode(400).end();
        }
    }

    private static long leaseId(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static ObjectNode object() {
        return Json.lenientMapper().createObjectNode();
    }

    private static ObjectNode json(StoreState.Item item) {
        return object().put("Key", item.key())
                .put("Value", Base64.getEncoder().encodeToString(item.value()))
                .put("Revision", item.revision())
                .put("Created", item.createRevision())
                .put("Lease", item.leaseId());
    }

    private void getItem(HttpServerRequest request) {
        Optional<StoreState.Item> item = mState.get(request.getParam("Key"));
        if (item.isEmpty()) {
            response(request).setStatusCode(NOT_FOUND).end();
        } else {
            respond(request, OK, json(item.get()).put("CurrentRev", mState.revision()));
        }
    }

    private void range(HttpServerRequest request) {
        String after = request.getParam("after");
        ObjectNode reply = object().put("HasMore", false).put("CurrentRev", mState.revision());
        ArrayNode items = reply.putArray("items");
        mState.list(request.getParam("Prefix"), after == null ? "" : after)
                .forEach(item -> items.add(json(item)));
        respond(request, OK, reply);
    }

    /**
     * Responds once there are events, or with status 410 if the history after the requested
     * revision was compacted, or with an empty list at the deadline.
     */
    private void watch(HttpServerRequest request, long deadlineNanos) {
        if (mFault == Fault.NO_RESPONSE) {
            return;
        }
        Optional<List<StoreState.Event>> events =
                mState.events(
                        request.getParam("Prefix"), Long.parseLong(request.getParam("after")));
        boolean timedOut = System.nanoTime() >= deadlineNanos;
        if (events.isPresent() && events.get().isEmpty() && !timedOut) {
            mVertx.setTimer(WATCH_POLL_MILLIS, timer -> watch(request, deadlineNanos));
            return;
        }
        if (events.isEmpty()) {
            respond(request, GONE, object());
            return;
        }
        ObjectNode reply = object().put("CurrentRev", mState.revision());
        ArrayNode eventList = reply.putArray("events");
        for (StoreState.Event event : events.get()) {
            eventList.add(
                    event.item()
                            .map(PlatformStoreStandin::json)
                            .orElseGet(
                                    () ->
                                            object().put("Key", event.key())
                                                    .put("Revision", event.revision())
                                                    .put("Deleted", true)));
        }
        respond(request, OK, reply);
    }

    private void transaction(HttpServerRequest request, Buffer body) throws IOException {
        JsonNode json = Json.lenientMapper().readTree(body.getBytes());
        ObjectNode reply = object();
        ArrayNode items = reply.putArray("items");
        boolean allMatch = true;
        for (JsonNode expected : json.path("Expected")) {
            Optional<StoreState.Item> item = mState.get(expected.path("Key").asText());
            long revision = item.map(StoreState.Item::revision).orElse(0L);
            allMatch &= revision == expected.path("Revision").asLong();
            items.add(item.map(PlatformStoreStandin::json).orElseGet(PlatformStoreStandin::object));
        }
        if (!allMatch) {
            respondToWrite(request, PRECONDITION_FAILED, reply);
            return;
        }
        for (JsonNode put : json.path("Puts")) {
            long lease = put.path("Lease").asLong();
            if (lease != 0 && !mState.hasLease(lease)) {
                respondToWrite(request, NOT_FOUND, object());
                return;
            }
            byte[] value = Base64.getDecoder().decode(put.path("Value").asText());
            mState.put(put.path("Key").asText(), value, lease);
        }
        json.path("Remove").forEach(key -> mState.remove(key.asText()));
        respondToWrite(request, OK, object().put("Revision", mState.revision()));
    }

    private void grantLease(HttpServerRequest request, Buffer body) throws IOException {
        long ttl = Json.lenientMapper().readTree(body.getBytes()).path("TtlMs").asLong();
        respondToWrite(
                request, OK, object().put("Lease", mState.grantLease(ttl)).put("TtlMs", ttl));
    }

    /** Responds to a write or lease request, unless the injected fault loses such responses. */
    private void respondToWrite(HttpServerRequest request, int status, ObjectNode reply) {
        if (mFault != Fault.WRITE_RESPONSES_LOST) {
            respond(request, status, reply);
        }
    }

    private void respond(HttpServerRequest request, int status, ObjectNode reply) {
        HttpServerResponse response = response(request);
        if (!response.closed()) {
            response.setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(Json.write(reply)));
        }
    }
}

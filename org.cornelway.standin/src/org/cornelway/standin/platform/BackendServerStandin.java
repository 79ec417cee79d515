package org.cornelway.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.config.Json;

/**
 * A stand-in for a backend server of the platform, plain or model engine.
 *
 * <p>Speaks HTTP/1.1 on a bare socket, so that it can also break the protocol. Thread-safe to its
 * tests; connections are confined to their event loop.
 */
public final class BackendServerStandin implements AutoCloseable {
    private static final long CALL_SECONDS = 10;
    private static final String SIGNATURE = "X-Server-Stamp: stand-in\r\n";

    private final Vertx mVertx;
    private final String mId;
    private final NetServer mServer;
    private final long mBornMillis = System.currentTimeMillis();
    private final Map<String, Set<String>> mModels = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<ReceivedCall> mArrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mAbandoned = new AtomicInteger();
    private volatile Fault mFault = Fault.NONE;
    private volatile int mEvents = 5;
    private volatile long mEventMillis = 5;
    private volatile long mLoadMillis = 30;
    private volatile long mOrders;
    private volatile long mHighestFence;

    /** How the server misbehaves. */
    public enum Fault {
        /** It does not. */
        NONE,
        /** It works on a call and gives no answer. */
        NO_RESPONSE,
        /** It works on a call and closes the connection. */
        CLOSE_CONNECTION,
        /** It breaks an answer off in the middle. */
        TRUNCATED_RESPONSE,
        /** It answers for another request first. */
        MISMATCHED_RESPONSE,
        /** It answers 500. */
        INTERNAL_ERROR,
        /** It does not work on calls, and says so. */
        OVERLOADED
    }

    /** A call that came in, with its headers by lower-case name. */
    public record ReceivedCall(
            String requestLine, Map<String, String> headers, String body, boolean executed) {
        /** A header, or empty text. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** A request as read so far. */
    private static final class Reading {
        private String mLine = "";
        private final Map<String, String> mHeaders = new HashMap<>();
        private String mBody = "";
    }

    /** Listens on a free port of the loopback address. */
    public BackendServerStandin(Vertx vertx, String id, String... models) {
        mVertx = vertx;
        mId = id;
        for (String model : models) {
            mModels.put(model, ConcurrentHashMap.newKeySet());
        }
        mServer = vertx.createNetServer().connectHandler(this::accept);
        CompletableFuture<NetServer> listening = new CompletableFuture<>();
        mServer.listen(0, "127.0.0.1")
                .onSuccess(listening::complete)
                .onFailure(listening::completeExceptionally);
        listening.orTimeout(CALL_SECONDS, TimeUnit.SECONDS).join();
    }

    /** The id. */
    public String id() {
        return mId;
    }

    /** The port. */
    public int port() {
        return mServer.actualPort();
    }

    /** Makes the server misbehave. */
    public void injectFault(Fault fault) {
        mFault = fault;
    }

    /** Sets the events of a stream and the time between two. */
    public void configureStream(int events, long eventMillis) {
        mEvents = events;
        mEventMillis = eventMillis;
    }

    /** Calls that came in, in order. */
    public List<ReceivedCall> receivedCalls() {
        return new ArrayList<>(mArrivals);
    }

    /** Streams whose connection was closed before their last event. */
    public int abandonedStreams() {
        return mAbandoned.get();
    }

    /** Models held now. */
    public Set<String> models() {
        return new HashSet<>(mModels.keySet());
    }

    /** What the server announces of itself. */
    public byte[] announcement(String service, String state, long beat) {
        ObjectNode node =
                Json.mapper()
                        .createObjectNode()
                        .put("Service", service)
                        .put("Address", "127.0.0.1:" + port())
                        .put("Zone", "z")
                        .put("Slots", 8)
                        .put("State", state)
                        .put("Seq", beat)
                        .put("born", mBornMillis);
        node.set("Models", models(mModels));
        return Json.write(node);
    }

    private static ArrayNode models(Map<String, Set<String>> held) {
        ArrayNode list = Json.mapper().createArrayNode();
        held.forEach(
                (model, adapters) -> {
                    ObjectNode node = list.addObject().put("Name", model);
                    ArrayNode names = node.putArray("Adapters");
                    adapters.forEach(names::add);
                });
        return list;
    }

    @Override
    public void close() {
        mServer.close().toCompletionStage().toCompletableFuture().join();
    }

    private void accept(NetSocket socket) {
        Reading reading = new Reading();
        RecordParser parser = RecordParser.newDelimited("\r\n", socket);
        parser.handler(part -> take(socket, parser, reading, part));
    }

    private void take(NetSocket socket, RecordParser parser, Reading reading, Buffer part) {
        if (reading.mLine.isEmpty()) {
            reading.mLine = part.toString();
        } else if (reading.mBody.equals("expected")) {
            reading.mBody = part.toString();
            finish(socket, parser, reading);
        } else if (part.length() > 0) {
            String[] header = part.toString().split(": ", 2);
            reading.mHeaders.put(header[0].toLowerCase(Locale.ROOT), header[1]);
        } else {
            int length = Integer.parseInt(reading.mHeaders.getOrDefault("content-length", "0"));
            if (length > 0) {
                reading.mBody = "expected";
                parser.fixedSizeMode(length);
            } else {
                finish(socket, parser, reading);
            }
        }
    }

    private void finish(NetSocket socket, RecordParser parser, Reading reading) {
        parser.delimitedMode("\r\n");
        Reading done = new Reading();
        done.mLine = reading.mLine;
        done.mHeaders.putAll(reading.mHeaders);
        done.mBody = reading.mBody;
        reading.mLine = "";
        reading.mHeaders.clear();
        reading.mBody = "";
        try {
            handle(socket, done);
        } catch (IOException e) {
            socket.close();
        }
    }

    private void handle(NetSocket socket, Reading request) throws IOException {
        String path = request.mLine.split(" ")[1];
        String target = request.mHeaders.getOrDefault("x-target-instance", mId);
        if (!target.equals(mId)) {
            write(socket, "421 Misdirected Request", "X-Instance-Id: " + mId + "\r\n", "");
        } else if (path.equals("/report")) {
            write(socket, "200 OK", "", new String(report()));
        } else if (path.equals("/order")) {
            order(socket, Json.mapper().readTree(request.mBody));
        } else {
            call(socket, request);
        }
    }

    private byte[] report() {
        ObjectNode node =
                Json.mapper()
                        .createObjectNode()
                        .put("Busy", false)
                        .put("Seq", mOrders)
                        .put("born", mBornMillis);
        node.set("Models", models(mModels));
        node.putObject("AtHand").putArray("OnDisk");
        return Json.write(node);
    }

    private void order(NetSocket socket, JsonNode order) {
        long fence = order.path("Fence").asLong();
        if (fence < mHighestFence) {
            write(socket, "412 Precondition Failed", "", "");
            return;
        }
        mHighestFence = fence;
        if (order.has("Expected") && order.path("Expected").asLong() != mOrders) {
            write(socket, "409 Conflict", "", "");
            return;
        }
        mOrders++;
        String model = order.path("Model").asText();
        boolean load = order.path("Operation").asText().equals("load");
        String adapter = order.path("Adapter").asText();
        if (!load && adapter.isEmpty()) {
            mModels.remove(model);
        } else if (!adapter.isEmpty()) {
            mModels.getOrDefault(model, new HashSet<>()).add(adapter);
        } else {
            mVertx.setTimer(mLoadMillis, done -> mModels.put(model, ConcurrentHashMap.newKeySet()));
        }
        write(socket, "202 Accepted", "", "");
    }

    private void call(NetSocket socket, Reading request) {
        String model = request.mHeaders.getOrDefault("x-model", "").split("/")[0];
        boolean held = model.isEmpty() || mModels.containsKey(model);
        boolean runs = held && mFault != Fault.OVERLOADED;
        mArrivals.add(new ReceivedCall(request.mLine, request.mHeaders, request.mBody, runs));
        String echo = "X-Request-Id: " + request.mHeaders.get("x-request-id") + "\r\n";
        if (!held) {
            write(socket, "421 Misdirected Request", "X-Instance-Id: " + mId + "\r\n", "");
            return;
        }
        switch (mFault) {
            case NO_RESPONSE -> {}
            case CLOSE_CONNECTION -> socket.close();
            case OVERLOADED -> write(socket, "503 Service Unavailable", "X-Not-Run: 1\r\n", "");
            case INTERNAL_ERROR ->
                    write(socket, "500 Internal Server Error", echo + SIGNATURE, "failed");
            case MISMATCHED_RESPONSE -> {
                write(socket, "200 OK", "X-Request-Id: other\r\n" + SIGNATURE, "not yours");
                answer(socket, request, model, echo);
            }
            default -> answer(socket, request, model, echo);
        }
    }

    private void answer(NetSocket socket, Reading request, String model, String echo) {
        if (!model.isEmpty()) {
            int last = Integer.parseInt(request.mHeaders.getOrDefault("last-event-id", "0"));
            socket.write(
                    "HTTP/1.1 200 OK\r\n"
                            + echo
                            + SIGNATURE
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            AtomicBoolean open = new AtomicBoolean(true);
            socket.closeHandler(closed -> open.set(false));
            event(socket, last + 1, open);
        } else if (mFault == Fault.TRUNCATED_RESPONSE) {
            socket.write(
                    "HTTP/1.1 200 OK\r\n" + echo + SIGNATURE + "Content-Length: 100\r\n\r\nhalf");
            socket.close();
        } else {
            write(socket, "200 OK", echo + SIGNATURE, "done " + request.mBody);
        }
    }

    private void event(NetSocket socket, int id, AtomicBoolean open) {
        if (!open.get()) {
            mAbandoned.incrementAndGet();
            return;
        }
        String text = "id: " + id + "\ndata: " + mId + "\n\n";
        if (mFault == Fault.TRUNCATED_RESPONSE && id > mEvents / 2) {
            socket.write(Integer.toHexString(text.length()) + "\r\n" + text.substring(0, 5));
            socket.close();
            return;
        }
        socket.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        if (id < mEvents) {
            mVertx.setTimer(mEventMillis, next -> event(socket, id + 1, open));
        } else {
            socket.write("0\r\n\r\n");
        }
    }

    private static void write(NetSocket socket, String status, String headers, String body) {
        socket.write(
                "HTTP/1.1 "
                        + status
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }
}

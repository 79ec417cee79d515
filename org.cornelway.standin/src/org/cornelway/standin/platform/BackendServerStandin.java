package org.cornelway.standin.platform;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.cornelway.config.Json;

/**
 * A stand-in for a backend server of the platform: a plain service or a model engine.
 *
 * <p>Implements HTTP/1.1 on a plain socket, so that it can also violate the protocol. The public
 * methods are thread-safe; each connection is confined to its event loop.
 */
public final class BackendServerStandin implements AutoCloseable {
    private static final long LISTEN_TIMEOUT_SECONDS = 10;
    private static final String SERVER_STAMP_HEADER = "X-Server-Stamp: stand-in\r\n";

    private static final String NOT_RUN_HEADER = "X-Not-Run: 1\r\n";
    private static final String UNAVAILABLE = "503 Service Unavailable";

    private static final int ENDLESS_PART_BYTES = 1_000;
    private static final int SHORT_HEADER_BYTES = 4;
    private static final int ENDLESS_CHUNK_BYTES = 10_000;

    private final Vertx mVertx;
    private final String mId;
    private final NetServer mServer;
    private final Set<NetSocket> mOpenSockets = ConcurrentHashMap.newKeySet();
    private volatile long mStartedMillis = System.currentTimeMillis();

    private final HeldModels mModels;
    private final BackendServerDocuments mDocuments;
    private final ConcurrentLinkedQueue<ReceivedCall> mReceivedCalls =
            new ConcurrentLinkedQueue<>();
    private final AtomicInteger mAbandonedStreams = new AtomicInteger();
    private volatile Fault mFault = Fault.NONE;

    /** A call whose prompt contains this part crashes the server; empty for none. */
    private volatile String mPoisonPart = "";

    /** How calls to a plain service are answered while no fault is injected. */
    private volatile Function<ReceivedCall, PlannedAnswer> mAnswerPlan =
            call -> PlannedAnswer.success();

    private volatile StreamPlan mStreamPlan = new StreamPlan(5, 5, 0);
    private volatile long mPausedUntilMillis;

    /** Header lines that each response to a call has in addition; empty for none. */
    private volatile String mExtraHeaders = "";

    /** Header lines that each report and each reply to an order has in addition. */
    private volatile String mReplyHeaders = "";

    /** Time from the receipt of a call to its response or refusal. */
    private volatile long mResponseDelayMillis;

    /**
     * Starts listening on a free port of the loopback address; returns once it does.
     *
     * @param id instance id of the server
     * @param models models that are loaded from the start; none for a plain service
     */
    public BackendServerStandin(Vertx vertx, String id, String... models) {
        mVertx = vertx;
        mId = id;
        mModels = new HeldModels(vertx, models);
        mDocuments = new BackendServerDocuments(mModels.byName());
        mServer = vertx.createNetServer().connectHandler(this::accept);
        CompletableFuture<NetServer> listening = new CompletableFuture<>();
        mServer.listen(0, "127.0.0.1")
                .onSuccess(listening::complete)
                .onFailure(listening::completeExceptionally);
        listening.orTimeout(LISTEN_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** The server's instance id. */
    public String id() {
        return mId;
    }

    /** The port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    /** Injects a fault from now on; {@link Fault#NONE} ends it. */
    public void injectFault(Fault fault) {
        mFault = fault;
    }

    /** Sets how calls to a plain service are answered while no fault is injected. */
    public void planAnswers(Function<ReceivedCall, PlannedAnswer> plan) {
        mAnswerPlan = plan;
    }

    /** Makes the server crash as it begins to answer a call whose prompt contains a part. */
    public void crashOnPart(String part) {
        mPoisonPart = part;
    }

    /** Sets the number of events in a stream and the time between two events. */
    public void configureStream(int eventCount, long eventIntervalMillis) {
        configureStream(new StreamPlan(eventCount, eventIntervalMillis, 0));
    }

    /** Sets the events of a stream. */
    public void configureStream(StreamPlan plan) {
        mStreamPlan = plan;
    }

    /** Adds header lines, each with its line break, to each response to a call from now on. */
    public void addToResponses(String headerLines) {
        mExtraHeaders = headerLines;
    }

    /** Adds header lines to each report and each reply to an order from now on. */
    public void addToReplies(String headerLines) {
        mReplyHeaders = headerLines;
    }

    /** Starts a new incarnation without the connections and extra headers of the old one. */
    public void restart() {
        mExtraHeaders = "";
        mReplyHeaders = "";
        crash();
    }

    /** Delays the response to each call that is received from now on. */
    public void delayResponses(long millis) {
        mResponseDelayMillis = millis;
    }

    /** Sends no events for a while; then all streams go on. */
    public void pauseStreams(long millis) {
        mPausedUntilMillis = System.currentTimeMillis() + millis;
    }

    /** The calls received so far, in order of arrival. */
    public List<ReceivedCall> receivedCalls() {
        return new ArrayList<>(mReceivedCalls);
    }

    /** The orders received so far, in order of arrival. */
    public List<ReceivedOrder> receivedOrders() {
        return mModels.receivedOrders();
    }

    /**
     * The number of streams whose connection the client closed before the last event. A stream is
     * counted when its next event is due.
     */
    public int abandonedStreams() {
        return mAbandonedStreams.get();
    }

    /** The names of the models that are loaded now. */
    public Set<String> loadedModels() {
        return new HashSet<>(mModels.byName().keySet());
    }

    /**
     * Returns the record that the server publishes about itself, as JSON.
     *
     * @param serverState {@code ready} or {@code draining}
     * @param heartbeatSequence sequence number; a reader ignores an announcement with a lower
     *     number than one it has read before
     */
    public byte[] announcement(String service, String serverState, long heartbeatSequence) {
        return mDocuments.announcement(
                service, port(), serverState, heartbeatSequence, mStartedMillis);
    }

    @Override
    public void close() {
        mServer.close().toCompletionStage().toCompletableFuture().join();
    }

    private void accept(NetSocket socket) {
        mOpenSockets.add(socket);
        socket.closeHandler(closed -> mOpenSockets.remove(socket));
        RequestParser.parse(
                socket,
                request -> {
                    try {
                        handle(socket, request);
                    } catch (IOException e) {
                        socket.close();
                    }
                });
    }

    private void handle(NetSocket socket, RequestParser.Request request) throws IOException {
        String path = request.line().split(" ")[1];
        String target = request.headers().getOrDefault("x-target-instance", mId);
        if (!target.equals(mId)) {
            String id = request.headers().get("x-request-id");
            misdirect(socket, id == null ? "" : "X-Request-Id: " + id + "\r\n");
        } else if (path.equals("/report")) {
            String report = new String(mDocuments.report(mModels.acceptedOrders(), mStartedMillis));
            write(socket, "200 OK", mReplyHeaders, report);
        } else if (path.equals("/order")) {
            String status = mModels.handleOrder(Json.lenientMapper().readTree(request.body()));
            write(socket, status, mReplyHeaders, "");
        } else {
            handleCall(socket, request);
        }
    }

    private void handleCall(NetSocket socket, RequestParser.Request request) {
        String model = request.headers().getOrDefault("x-model", "").split("/")[0];
        boolean loaded = model.isEmpty() || mModels.byName().containsKey(model);
        boolean executed = loaded && mFault != Fault.OVERLOADED;
        ReceivedCall call =
                new ReceivedCall(
                        System.nanoTime(),
                        request.line(),
                        request.headers(),
                        request.body(),
                        executed);
        mReceivedCalls.add(call);
        String requestIdHeader =
                "X-Request-Id: " + request.headers().get("x-request-id") + "\r\n" + mExtraHeaders;
        if (!loaded) {
            misdirect(socket, requestIdHeader);
            return;
        }
        if (hasPoisonPart(request)) {
            crash();
            return;
        }
        long delayMillis = mResponseDelayMillis;
        if (delayMillis > 0) {
            mVertx.setTimer(delayMillis, timer -> respond(socket, call, model, requestIdHeader));
        } else {
            respond(socket, call, model, requestIdHeader);
        }
    }

    /** Responds to a call as the injected fault says. */
    private void respond(
            NetSocket socket, ReceivedCall call, String model, String requestIdHeader) {
        if (mFault == Fault.REPEATED_REFUSAL) {
            write(socket, UNAVAILABLE, NOT_RUN_HEADER, "");
        } else if (mFault == Fault.MISMATCHED_RESPONSE) {
            write(socket, "200 OK", "X-Request-Id: other\r\n" + SERVER_STAMP_HEADER, "not yours");
        }
        boolean resumes = call.headers().containsKey("last-event-id");
        String ownHeaders = requestIdHeader + SERVER_STAMP_HEADER;
        switch (mFault) {
            case NO_RESPONSE -> {}
            case CLOSE_CONNECTION -> socket.close();
            case ENDLESS_BYTES, ENDLESS_HEAD, ENDLESS_SHORT_HEADERS, ENDLESS_BODY ->
                    sendEndlessly(socket, ownHeaders);
            case OVERLOADED -> write(socket, UNAVAILABLE, requestIdHeader + NOT_RUN_HEADER, "");
            case UNAVAILABLE -> write(socket, UNAVAILABLE, ownHeaders, "failed");
            case INTERNAL_ERROR -> write(socket, "500 Internal Error", ownHeaders, "failed");
            default -> {
                if (mFault == Fault.RESUME_REJECTED && resumes) {
                    write(socket, "404 Not Found", ownHeaders, "no such stream");
                } else {
                    sendResult(socket, call, model, requestIdHeader);
                }
            }
        }
    }

    private boolean hasPoisonPart(RequestParser.Request request) {
        String prompt = request.headers().getOrDefault("x-prompt-prefix", "");
        return !mPoisonPart.isEmpty() && prompt.contains(mPoisonPart);
    }

    private void misdirect(NetSocket socket, String requestIdHeader) {
        String headers = requestIdHeader + "X-Instance-Id: " + mId + "\r\n";
        write(socket, "421 Misdirected Request", headers, "");
    }

    /** Closes all connections, as a crash does, and starts a new incarnation. */
    private void crash() {
        mStartedMillis = Math.max(mStartedMillis + 1, System.currentTimeMillis());
        List.copyOf(mOpenSockets).forEach(NetSocket::close);
    }

    /**
     * Sends bytes that never become a complete response, as the fault says.
     *
     * @param headers header lines of a response whose body does not end
     */
    private void sendEndlessly(NetSocket socket, String headers) {
        String statusLine = "HTTP/1.1 200 OK\r\n";
        switch (mFault) {
            case ENDLESS_HEAD -> {
                socket.write(statusLine);
                repeatedly(socket, "X-More: " + "a".repeat(ENDLESS_PART_BYTES) + "\r\n");
            }
            case ENDLESS_SHORT_HEADERS -> {
                socket.write(statusLine);
                repeatedly(socket, "a:\r\n".repeat(ENDLESS_PART_BYTES / SHORT_HEADER_BYTES));
            }
            case ENDLESS_BODY -> {
                socket.write(statusLine + headers + "Transfer-Encoding: chunked\r\n\r\n");
                String chunk = "a".repeat(ENDLESS_CHUNK_BYTES) + "\r\n";
                repeatedly(socket, Integer.toHexString(ENDLESS_CHUNK_BYTES) + "\r\n" + chunk);
            }
            default -> repeatedly(socket, "\u0001".repeat(ENDLESS_PART_BYTES));
        }
    }

    private void repeatedly(NetSocket socket, String text) {
        EventStreamWriter.repeat(mVertx, socket, text, mAbandonedStreams::incrementAndGet);
    }

    /** Responds to a call to a model with a stream of events, and to another one with its body. */
    private void sendResult(
            NetSocket socket, ReceivedCall call, String model, String requestIdHeader) {
        String headers = requestIdHeader + SERVER_STAMP_HEADER;
        if (!model.isEmpty()) {
            int lastEventId = Integer.parseInt(call.headers().getOrDefault("last-event-id", "0"));
            new EventStreamWriter(
                            mVertx,
                            socket,
                            mId,
                            mFault,
                            mStreamPlan,
                            () -> mPausedUntilMillis - System.currentTimeMillis())
                    .start(headers, lastEventId + 1, mAbandonedStreams::incrementAndGet);
        } else if (mFault == Fault.TRUNCATED_RESPONSE) {
            socket.write("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 100\r\n\r\nhalf");
            socket.close();
        } else if (mFault.isUnframed()) {
            String head = "HTTP/1.1 200 OK\r\n" + headers + "\r\n";
            socket.write(head + "done " + call.body());
            socket.close();
        } else {
            mAnswerPlan.apply(call).write(mVertx, socket, headers, "done " + call.body());
        }
    }

    private static void write(NetSocket socket, String status, String headers, String body) {
        socket.write(PlannedAnswer.format(status, headers, body));
    }
}

package org.cornelway.direct;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * A caller that sends one call after the other to an entry until the entry's process is gone.
 *
 * <p>Runs on a thread of its own; its calls may be read on any thread, once it has ended.
 */
final class StopCaller {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int NO_STATUS = 0;

    /** Pause between two connections, which leaves most local ports to other processes. */
    private static final long PAUSE_MILLIS = 20;

    private final int mPort;
    private final String mPath;
    private final String mHeaders;
    private final Connections mConnections;
    private final BooleanSupplier mGone;
    private final List<Call> mCalls = Collections.synchronizedList(new ArrayList<>());

    /** How a caller uses its connections. */
    enum Connections {
        /** A new connection for each call. */
        NEW,
        /** Connections are kept until a response asks to close them. */
        KEPT,
        /** Connections are kept until the entry closes them, whatever the responses say. */
        KEPT_UNTIL_CLOSED
    }

    /**
     * A call that was sent.
     *
     * @param sentMillis when its last byte was sent, in milliseconds since the epoch
     * @param response complete response; empty if the connection ended without one
     */
    record Call(String requestId, long sentMillis, Optional<String> response) {
        /** Status of the response; 0 if there is none. */
        int status() {
            return response.map(text -> Integer.parseInt(text.split(" ")[1])).orElse(NO_STATUS);
        }
    }

    /**
     * @param headers header lines of each call in addition, each with its line break
     * @param gone whether the entry's process is gone
     */
    StopCaller(
            int port, String path, String headers, Connections connections, BooleanSupplier gone) {
        mPort = port;
        mPath = path;
        mHeaders = headers;
        mConnections = connections;
        mGone = gone;
    }

    /** Starts calling; the future ends with the calls that were sent. */
    CompletableFuture<List<Call>> start() {
        CompletableFuture<List<Call>> calls = new CompletableFuture<>();
        Thread thread =
                new Thread(
                        () -> {
                            while (!mGone.getAsBoolean()) {
                                callOnOneConnection();
                                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
                            }
                            calls.complete(mCalls);
                        },
                        "caller");
        thread.setDaemon(true);
        thread.start();
        return calls;
    }

    private void callOnOneConnection() {
        try (RawCall connection = new RawCall(mPort, READ_TIMEOUT_MILLIS)) {
            boolean kept = true;
            while (kept) {
                Optional<String> response = callOnce(connection);
                kept = response.map(this::isKeptAfter).orElse(false);
            }
        } catch (IOException e) {
            // The entry does not accept connections, or the call was not sent.
            return;
        }
    }

    private Optional<String> callOnce(RawCall connection) throws IOException {
        String requestId = UUID.randomUUID().toString();
        connection.sendHead(mPath, requestId, mHeaders + "Content-Length: 1\r\n");
        connection.send("x");
        long sentMillis = System.currentTimeMillis();
        Optional<String> response = connection.readResponse();
        mCalls.add(new Call(requestId, sentMillis, response));
        return response;
    }

    private boolean isKeptAfter(String response) {
        return mConnections == Connections.KEPT_UNTIL_CLOSED
                || mConnections == Connections.KEPT
                        && !response.toLowerCase().contains("connection: close");
    }
}

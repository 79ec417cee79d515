package org.cornelway.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A backend server that writes each part of its answer at a given time, on any number of
 * connections at once. Thread-safe; each connection has a thread of its own.
 */
final class TimedServer implements AutoCloseable {
    private final ServerSocket mServer;
    private final AtomicInteger mArrivals = new AtomicInteger();
    private final AtomicInteger mEnds = new AtomicInteger();
    private volatile Function<String, Script> mScripts = head -> new Script(List.of(), false);

    /**
     * Bytes of an answer.
     *
     * @param afterMillis time from the part before, or from the request, to this part
     */
    record Part(long afterMillis, String bytes) {}

    /**
     * An answer.
     *
     * @param closes whether the server closes the connection with the last part
     */
    record Script(List<Part> parts, boolean closes) {}

    /** Starts the server on a free port of the loopback address. */
    TimedServer() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptUntilClosed);
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "timed-server");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Sets the answers by the head of the request. */
    void setScripts(Function<String, Script> scripts) {
        mScripts = scripts;
    }

    /** The number of requests that were read. */
    int arrivals() {
        return mArrivals.get();
    }

    /** The number of connections that have ended. */
    int ends() {
        return mEnds.get();
    }

    private void acceptUntilClosed() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            boolean isOpen = true;
            String head = readHead(socket.getInputStream());
            while (isOpen && !head.isEmpty()) {
                mArrivals.incrementAndGet();
                Script script = mScripts.apply(head);
                write(script, socket.getOutputStream());
                isOpen = !script.closes();
                head = isOpen ? readHead(socket.getInputStream()) : "";
            }
        } catch (IOException e) {
            // The entry has closed the connection.
            return;
        } finally {
            mEnds.incrementAndGet();
        }
    }

    private static void write(Script script, OutputStream out) throws IOException {
        for (Part part : script.parts()) {
            pause(part.afterMillis());
            out.write(part.bytes().getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the head of a request without a body; empty if the connection is closed. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}

package org.cornelway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelway.standin.platform.PlannedAnswer;

/**
 * HTTP server on the loopback address that answers each request, and then writes a copy of that
 * answer on the same connection.
 *
 * <p>The first bytes of the copy follow the answer at once; the rest arrives after the next request
 * on the connection and before its answer. Each connection has its own thread. Thread-safe.
 */
public final class RepeatingServer implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("\r\ncontent-length: *(\\d+)\r\n", Pattern.CASE_INSENSITIVE);
    private static final Pattern REQUEST_ID =
            Pattern.compile("\r\nx-request-id: *([^\r\n]*)\r\n", Pattern.CASE_INSENSITIVE);

    private final ServerSocket mSocket;
    private final Function<String, String> mAnswers;
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile int mBytesAtOnce;
    private volatile int mBytesInAll;

    /**
     * @param answers returns the complete answer to a request, given with its head and its body
     */
    public RepeatingServer(Function<String, String> answers) throws IOException {
        mAnswers = answers;
        mSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::acceptConnections);
    }

    /**
     * Sets which part of each copy is written.
     *
     * @param bytesAtOnce number of bytes that follow the answer at once
     * @param bytesInAll number of bytes written in all; the rest of the copy is omitted
     */
    public void setCopy(int bytesAtOnce, int bytesInAll) {
        mBytesAtOnce = bytesAtOnce;
        mBytesInAll = bytesInAll;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mSocket.getLocalPort();
    }

    /** Returns the number of connections accepted so far. */
    public int connections() {
        return mConnections.get();
    }

    /** Returns the id that a request states, or an empty text. */
    public static String requestId(String request) {
        Matcher matcher = REQUEST_ID.matcher(request);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Returns a complete answer. */
    public static String answer(String status, String headers, String body) {
        return PlannedAnswer.format(status, headers, body);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "repeating-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = mSocket.accept();
                mConnections.incrementAndGet();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            String lateBytes = "";
            while (true) {
                String answer = mAnswers.apply(readRequest(socket.getInputStream()));
                int end = Math.min(mBytesInAll, answer.length());
                int split = Math.min(mBytesAtOnce, end);
                write(out, lateBytes + answer + answer.substring(0, split));
                lateBytes = answer.substring(split, end);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf(END_OF_HEAD) < 0) {
            request.append(readByte(in));
        }
        Matcher matcher = CONTENT_LENGTH.matcher(request);
        int bodyBytes = matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
        for (int i = 0; i < bodyBytes; i++) {
            request.append(readByte(in));
        }
        return request.toString();
    }

    private static char readByte(InputStream in) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new IOException("closed");
        }
        return (char) next;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}

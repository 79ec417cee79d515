package org.cornelway;

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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server that writes given bytes as its answer to each request, whole or cut, on any
 * number of connections, one after the other.
 *
 * <p>{@link #setAnswer}, {@link #setAnswers} and {@link #firstRequestNumber} are thread-safe;
 * connections are served by one thread.
 */
public final class ScriptedServer implements AutoCloseable {
    /** How the server closes a connection after the bytes of its answer. */
    public enum Close {
        NONE,
        FIN,
        RESET
    }

    /**
     * What the server writes.
     *
     * @param bytes the bytes of the answer
     * @param close how it closes the connection afterwards
     * @param pauseMillis time between the last byte and the close
     */
    public record Answer(String bytes, Close close, long pauseMillis) {}

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: ([0-9]+)");

    private final ServerSocket mServer;
    private final AtomicInteger mFirstRequestNumber = new AtomicInteger();

    /** The answers to the next requests; the last one also answers all later requests. */
    private List<Answer> mAnswers = List.of(new Answer("", Close.FIN, 0));

    /** Starts the server on a free port of the loopback address. */
    public ScriptedServer() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptUntilClosed, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mServer.getLocalPort();
    }

    /** Sets the answer to the next requests. */
    public void setAnswer(Answer answer) {
        setAnswers(answer);
    }

    /** Sets the answers to the next requests; the last one also answers all later requests. */
    public synchronized void setAnswers(Answer... answers) {
        mAnswers = List.of(answers);
        mFirstRequestNumber.set(0);
    }

    private synchronized Answer nextAnswer() {
        Answer next = mAnswers.get(0);
        mAnswers = mAnswers.size() > 1 ? mAnswers.subList(1, mAnswers.size()) : mAnswers;
        return next;
    }

    private synchronized Answer currentAnswer() {
        return mAnswers.get(0);
    }

    /**
     * Number, on its connection, of the first request after the answer was set; 1 for the first
     * request of a connection, 0 if none was read.
     */
    public int firstRequestNumber() {
        return mFirstRequestNumber.get();
    }

    private void acceptUntilClosed() {
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                serve(socket);
            } catch (IOException e) {
                // The client has closed the connection, or the test has ended.
                continue;
            }
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Answer answer = currentAnswer();
        int requests = 0;
        while (readRequest(socket.getInputStream())) {
            requests++;
            mFirstRequestNumber.compareAndSet(0, requests);
            answer = nextAnswer();
            OutputStream out = socket.getOutputStream();
            out.write(answer.bytes().getBytes(StandardCharsets.US_ASCII));
            out.flush();
            if (answer.close() != Close.NONE) {
                break;
            }
        }
        pause(answer.pauseMillis());
        if (answer.close() == Close.RESET) {
            socket.setSoLinger(true, 0);
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a request with its body, if any; returns false if the connection is closed. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        if (length.find()) {
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}

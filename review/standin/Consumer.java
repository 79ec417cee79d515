import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A consumer with one channel, which it keeps for its requests one after the other. */
final class Consumer implements AutoCloseable {
    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private final Bed mBed;
    private final int mPort;
    private Socket mSocket;
    private InputStream mIn;

    /**
     * What a consumer got.
     *
     * @param status the status; 0 if the channel was closed before a head, -1 if nothing came in
     *     time
     * @param body the body as far as it came
     * @param complete whether the end of the answer came
     * @param millis time from the last byte sent until the end
     */
    record Answer(
            String id, int status, String body, boolean complete, boolean stamped, long millis) {}

    Consumer(Bed bed, Bed.Entry entry) {
        mBed = bed;
        mPort = entry.mFront;
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", 0x5000L + NEXT_ID.incrementAndGet());
    }

    private void connect() throws IOException {
        if (mSocket == null) {
            mSocket = new Socket();
            mSocket.connect(new InetSocketAddress("127.0.0.1", mPort), 1_000);
            mSocket.setTcpNoDelay(true);
            mIn = new BufferedInputStream(mSocket.getInputStream());
        }
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param timeLimitMillis sent as X-Deadline-Ms
     * @param patienceMillis how long this stand-in waits for the end of the answer
     */
    Answer call(
            String method,
            String path,
            byte[] body,
            int timeLimitMillis,
            long patienceMillis,
            String... headers)
            throws IOException {
        String id = newId();
        connect();
        StringBuilder head = new StringBuilder();
        head.append(
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + Bed.HOST
                        + "\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Deadline-Ms: "
                        + timeLimitMillis
                        + "\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        head.append(method.equals("GET") ? "\r\n" : "Content-Length: " + body.length + "\r\n\r\n");
        mBed.record("send " + id + " " + method + " " + path);
        long sent = mBed.millis();
        Answer answer;
        try {
            OutputStream out = mSocket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            sent = mBed.millis();
            answer = read(id, sent, sent + patienceMillis);
        } catch (SocketTimeoutException e) {
            answer = new Answer(id, -1, "", false, false, mBed.millis() - sent);
        } catch (IOException e) {
            answer = new Answer(id, 0, "", false, false, mBed.millis() - sent);
        }
        if (!answer.complete()) {
            close();
        }
        String text =
                answer.body().length() > 120
                        ? answer.body().substring(0, 120) + ".."
                        : answer.body();
        mBed.record(
                "answer "
                        + id
                        + " status "
                        + answer.status()
                        + " complete "
                        + answer.complete()
                        + " after "
                        + answer.millis()
                        + " ms, "
                        + answer.body().length()
                        + " bytes: "
                        + text.replace("\n", "\\n").replaceAll("[^ -~]", "?"));
        return answer;
    }

    private String readLine(long end) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = readByte(end);
            if (c < 0) {
                throw new IOException("closed");
            }
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    private int readByte(long end) throws IOException {
        long left = end - mBed.millis();
        if (left <= 0) {
            throw new SocketTimeoutException();
        }
        mSocket.setSoTimeout((int) left);
        return mIn.read();
    }

    private Answer read(String id, long sent, long end) throws IOException {
        String[] words = readLine(end).split(" ");
        int status = Integer.parseInt(words[1]);
        long length = -1;
        boolean chunked = false;
        boolean close = false;
        boolean stamped = false;
        for (String line = readLine(end); !line.isEmpty(); line = readLine(end)) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(lower.substring(15).trim());
            }
            chunked |= lower.startsWith("transfer-encoding:");
            close |= lower.startsWith("connection:") && lower.contains("close");
            stamped |= lower.startsWith("x-server-stamp:");
        }
        StringBuilder body = new StringBuilder();
        boolean complete = false;
        try {
            complete = chunked ? readChunks(body, end) : readLength(body, length, end);
        } catch (IOException e) {
            // The answer has broken off, or nothing more has come in time.
        }
        if (close) {
            close();
        }
        return new Answer(id, status, body.toString(), complete, stamped, mBed.millis() - sent);
    }

    private boolean readChunks(StringBuilder body, long end) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(end).trim(), 16);
            readLength(body, size, end);
            readLine(end);
            if (size == 0) {
                return true;
            }
        }
    }

    private boolean readLength(StringBuilder body, long length, long end) throws IOException {
        for (long i = 0; i < length; i++) {
            int c = readByte(end);
            if (c < 0) {
                return false;
            }
            body.append((char) c);
        }
        return true;
    }

    @Override
    public void close() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
        mSocket = null;
    }

    /** Runs something on a thread of its own. */
    static <T> CompletableFuture<T> async(Callable<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                result.complete(action.call());
                            } catch (Throwable e) {
                                result.completeExceptionally(e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    static <T> List<T> joinAll(List<CompletableFuture<T>> futures) {
        List<T> results = new ArrayList<>();
        futures.forEach(future -> results.add(future.join()));
        return results;
    }
}

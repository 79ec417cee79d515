import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a backend server: HTTP/1.1 on plain sockets, one thread a connection.
 *
 * <p>Answers /report, /order and the health path as a sound server; what it answers to calls is the
 * behavior of the case.
 */
final class BackendServer {
    private final Bed mBed;
    private final String mService;
    private final String mId;
    private final Behavior mBehavior;
    private final long mBorn = System.currentTimeMillis();
    private final ServerSocket mListener;
    private final EngineState mEngine;
    private final AtomicLong mAnnouncements = new AtomicLong(10);
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    /** Number of runs by request id. */
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();

    /** Answers the calls of one server. */
    interface Behavior {
        /** Answers a call; an exception closes the connection. */
        void answer(Call call) throws IOException, InterruptedException;
    }

    /** A call that has arrived, and the connection to answer it on. */
    record Call(
            BackendServer server,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Socket socket,
            OutputStream out) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Counts and records that the server begins to work on the call. */
        void run() {
            server.mRuns.merge(id(), 1, Integer::sum);
            server.mBed.record("run " + id() + " at " + server.mId + " " + method + " " + path);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        String headLines() {
            return "X-Request-Id: "
                    + id()
                    + "\r\nX-Server-Stamp: stamp."
                    + server.mId
                    + "."
                    + id()
                    + "\r\n";
        }

        /** Answers with a whole body, as a sound plain service does. */
        void answer(String status, String body) throws IOException {
            write(
                    "HTTP/1.1 "
                            + status
                            + "\r\n"
                            + headLines()
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /** Says that the call has not run here. */
        void refuse() throws IOException {
            write(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: "
                            + id()
                            + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }

        /** Begins a chunked stream of events. */
        void beginStream() throws IOException {
            write(
                    "HTTP/1.1 200 OK\r\n"
                            + headLines()
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void event(int number) throws IOException {
            chunk("id: " + number + "\ndata: piece " + number + "\n\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        /** A whole sound stream from the piece after Last-Event-Id on. */
        void stream(int last, long gapMillis) throws IOException, InterruptedException {
            int done =
                    header("last-event-id").isEmpty()
                            ? 0
                            : Integer.parseInt(header("last-event-id"));
            beginStream();
            for (int i = done + 1; i <= last; i++) {
                event(i);
                Thread.sleep(gapMillis);
            }
            endStream();
        }
    }

    BackendServer(Bed bed, String service, String id, Behavior behavior, String... models)
            throws IOException {
        mBed = bed;
        mService = service;
        mId = id;
        mBehavior = behavior;
        mEngine = new EngineState(bed, id, this::crash, this::announce, models);
        mListener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return mId;
    }

    /** Number of runs of a request. */
    int runs(String requestId) {
        return mRuns.getOrDefault(requestId, 0);
    }

    /** Writes what the server says of itself to the store anew, as its models have changed. */
    private void announce() {
        mBed.announce(this, "ready", mAnnouncements.incrementAndGet());
    }

    EngineState engine() {
        return mEngine;
    }

    byte[] announcement(String state, long sequence) {
        String text =
                "{\"Service\":\""
                        + mService
                        + "\",\"Address\":\"127.0.0.1:"
                        + mListener.getLocalPort()
                        + "\",\"Zone\":\"tn-nord-a\",\"Version\":\"v1\",\"Slots\":"
                        + (mEngine.isEngine() ? 64 : 6)
                        + ",\"State\":\""
                        + state
                        + "\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\"Models\":"
                        + mEngine.models()
                        + ",\"Seq\":"
                        + sequence
                        + ",\"born\":"
                        + mBorn
                        + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Breaks off all that runs; the server doesn't come back. */
    private void crash() {
        mBed.record(mId + " crashes");
        try {
            mListener.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(Socket socket) {
        mSockets.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                Map<String, String> headers = readHeaders(in);
                byte[] body =
                        in.readNBytes(
                                Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String[] words = line.split(" ");
                answer(new Call(this, words[0], words[1], headers, body, socket, out));
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(Call call) throws IOException, InterruptedException {
        String target = call.headers().getOrDefault("x-target-instance", mId);
        if (!target.equals(mId)) {
            call.write(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                            + call.id()
                            + "\r\nX-Instance-Id: "
                            + mId
                            + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (call.path().equals("/report")) {
            json(call, mEngine.report(mBorn));
        } else if (call.path().equals("/order")) {
            String status = mEngine.order(new String(call.body(), StandardCharsets.UTF_8));
            call.write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
        } else if (!mEngine.isEngine()) {
            mBehavior.answer(call);
        } else if (mEngine.begin(call.header("x-model"))) {
            try {
                mBehavior.answer(call);
            } finally {
                mEngine.end(call.header("x-model"));
            }
        } else {
            call.write(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                            + call.id()
                            + "\r\nX-Instance-Id: "
                            + mId
                            + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }

    private static void json(Call call, String body) throws IOException {
        call.write(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new LinkedHashMap<>(headers);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return null;
    }
}

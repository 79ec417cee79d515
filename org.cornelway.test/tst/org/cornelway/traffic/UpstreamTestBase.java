package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests that send requests to a scripted server through a pool of real connections.
 */
public abstract class UpstreamTestBase {
    private static final long TIMEOUT_SECONDS = 20;
    static final String FIRST_ANSWER = answer("200 OK", "a", "first");
    static final String FAILURE = answer("500 Internal Server Error", "b", "failed");
    static final String END_OF_HEAD = "\r\n\r\n";

    private MultiThreadIoEventLoopGroup mGroup;
    private ServerSocket mServer;
    private UpstreamPool mPool;

    /** Milliseconds by which the clock of the pool is ahead of the system's. */
    private final AtomicLong mClockAheadMillis = new AtomicLong();

    /** The scripts of the connections that are not accepted yet, in order. */
    private final BlockingQueue<Script> mScripts = new LinkedBlockingQueue<>();

    /** What a server writes for the first and for the second request of a connection. */
    record Script(String first, String second) {}

    @BeforeMethod
    public final void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mScripts.clear();
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Clock system = Clock.system();
        Clock clock = () -> system.nowMillis() + mClockAheadMillis.get();
        mPool =
                new UpstreamPool(
                        (EventLoop) mGroup.next(),
                        new WireCallCodec(),
                        clock,
                        new EventLog(clock, new MetricRegistry()));
    }

    @AfterMethod(alwaysRun = true)
    public final void tearDown() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String answer(String status, String id, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nDate: today\r\nX-Request-Id: "
                + id
                + "\r\nX-Server-Stamp: s\r\nContent-Length: "
                + body.length()
                + END_OF_HEAD
                + body;
    }

    /** Serves the next connection that no script is planned for yet. */
    final void serve(Script script) {
        ServerSocket server = mServer;
        mScripts.add(script);
        startThread(
                () -> {
                    // Accepting and taking the script in one step keeps them in order.
                    Socket accepted;
                    Script next;
                    synchronized (server) {
                        accepted = server.accept();
                        next = mScripts.remove();
                    }
                    try (Socket socket = accepted) {
                        answer(socket, next);
                    }
                });
    }

    /** An action that ends when the client closes the connection. */
    private interface Serving {
        void run() throws IOException;
    }

    private static void startThread(Serving serving) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                serving.run();
                            } catch (IOException e) {
                                // The client has closed the connection.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void answer(Socket socket, Script script) throws IOException {
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        readHead(in);
        out.write(script.first().getBytes(StandardCharsets.US_ASCII));
        readHead(in);
        out.write(script.second().getBytes(StandardCharsets.US_ASCII));
        readHead(in);
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            head.append((char) next);
        }
    }

    /** Sends a request; the result is the status and the body, or why there is none. */
    final CompletableFuture<String> send(String id, HttpMethod method) {
        return send(id, method, connection -> {});
    }

    /**
     * @param onContent called on the event loop when a part of the body has arrived
     */
    final CompletableFuture<String> send(
            String id, HttpMethod method, Consumer<UpstreamConnection> onContent) {
        CompletableFuture<String> result = new CompletableFuture<>();
        UpstreamRequest request =
                new UpstreamRequest(
                        method,
                        "/x",
                        new DefaultHttpHeaders().add("Host", "test"),
                        Unpooled.EMPTY_BUFFER,
                        Optional.of(id));
        mGroup.execute(
                () ->
                        mPool.acquire(
                                "127.0.0.1",
                                mServer.getLocalPort(),
                                new Collector(request, onContent, result)));
        return result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Advances the clock of the pool. */
    final void advanceClock(long millis) {
        mClockAheadMillis.addAndGet(millis);
    }

    /** Returns the result of a function of the pool, which is called on the event loop. */
    final <T> T onLoop(Function<UpstreamPool, T> function) {
        return CompletableFuture.supplyAsync(() -> function.apply(mPool), mGroup).join();
    }

    /** Opens a connection to the server. */
    final UpstreamConnection open() {
        CompletableFuture<UpstreamConnection> opened = new CompletableFuture<>();
        onLoop(
                pool -> {
                    pool.acquire("127.0.0.1", mServer.getLocalPort(), new Opening(opened));
                    return true;
                });
        return opened.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Passes on the connection that was opened. */
    private record Opening(CompletableFuture<UpstreamConnection> opened)
            implements UpstreamPool.AcquireListener {
        @Override
        public void onAcquired(UpstreamConnection connection) {
            opened.complete(connection);
        }

        @Override
        public void onConnectFailed(String reason) {
            opened.completeExceptionally(new IOException(reason));
        }
    }

    /** Sends a request once there is a connection and collects the response. */
    private static final class Collector implements UpstreamPool.AcquireListener, ResponseListener {
        private final UpstreamRequest mRequest;
        private final Consumer<UpstreamConnection> mOnContent;
        private final CompletableFuture<String> mResult;
        private final StringBuilder mText = new StringBuilder();
        private UpstreamConnection mConnection;

        Collector(
                UpstreamRequest request,
                Consumer<UpstreamConnection> onContent,
                CompletableFuture<String> result) {
            mRequest = request;
            mOnContent = onContent;
            mResult = result;
        }

        @Override
        public void onAcquired(UpstreamConnection connection) {
            mConnection = connection;
            connection.send(mRequest, this);
        }

        @Override
        public void onConnectFailed(String reason) {
            mResult.complete("not connected: " + reason);
        }

        @Override
        public void onHead(HttpResponse head) {
            mText.append(head.status().code()).append(' ');
        }

        @Override
        public void onContent(ByteBuf content) {
            mText.append(content.toString(StandardCharsets.US_ASCII));
            mOnContent.accept(mConnection);
        }

        @Override
        public void onEnd() {
            mResult.complete(mText.toString());
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            mResult.complete("failed: " + reason);
        }
    }
}

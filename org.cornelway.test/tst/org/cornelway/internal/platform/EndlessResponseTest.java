package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.CompletionCall;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests responses of services and engines that do not end. */
public class EndlessResponseTest {
    private static final int PART_BYTES = 1 << 16;

    /** Twice the longest response that is accepted. */
    private static final int PARTS = 512;

    private static final long TIMEOUT_MILLIS = 10_000;

    private Vertx mVertx;
    private HttpEndpoint mEndpoint;
    private CompletableFuture<Void> mClosed;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
        mClosed = new CompletableFuture<>();
        NetServer server =
                mVertx.createNetServer().connectHandler(this::serve).listen(0, "127.0.0.1").await();
        mEndpoint = new HttpEndpoint("127.0.0.1", server.actualPort());
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mVertx.close().await();
    }

    private void serve(NetSocket socket) {
        socket.closeHandler(closed -> mClosed.complete(null));
        socket.handler(
                request -> {
                    socket.handler(rest -> {});
                    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    writeParts(socket, PARTS);
                });
    }

    private static void writeParts(NetSocket socket, int count) {
        if (count > 0) {
            String chunk = Integer.toHexString(PART_BYTES) + "\r\n" + "a".repeat(PART_BYTES);
            socket.write(Buffer.buffer(chunk + "\r\n", StandardCharsets.US_ASCII.name()))
                    .onSuccess(written -> writeParts(socket, count - 1));
        }
    }

    /** Guards against a response that is kept without a limit until it is complete. */
    @Test
    public void endlessBodyEndsTheRequest() {
        HttpEndpointClient client = new HttpEndpointClient(mVertx, mEndpoint, 1, TIMEOUT_MILLIS);
        assertEnds(client.send("GET", "/", "", new byte[0], TIMEOUT_MILLIS));
    }

    /** Guards against a line of a stream that is kept without a limit until it is complete. */
    @Test
    public void endlessEventEndsTheCompletion() {
        HttpModelEngine engine = new HttpModelEngine(mVertx, mEndpoint, TIMEOUT_MILLIS);
        CompletionCall call =
                new CompletionCall(
                        "r1", "m", "", "/v1/completions", "{}".getBytes(StandardCharsets.UTF_8), 0);
        assertEnds(
                engine.runCompletion(call)
                        .lastOrError()
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void assertEnds(Single<?> response) {
        assertThatThrownBy(response::blockingGet).hasCauseInstanceOf(IOException.class);
        mClosed.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }
}

package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a client takes from an earlier response on a connection that it has kept. */
public class HttpEndpointReuseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long COPY_DELAY_MILLIS = 20;

    /** Time in which the copy arrives at the client. */
    private static final long ARRIVAL_MILLIS = 200;

    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";
    private static final String PART_OF_COPY = "HTTP/1.1 200 O";

    private Vertx mVertx;
    private NetServer mServer;

    @BeforeMethod
    public void setUp() {
        mVertx = Vertx.vertx();
        mServer = mVertx.createNetServer().connectHandler(this::answer);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Answers /a with a success, of which a part is repeated, and all other paths with failure. */
    private void answer(NetSocket socket) {
        socket.handler(
                request -> {
                    boolean isFirst =
                            request.toString(StandardCharsets.US_ASCII).startsWith("GET /a ");
                    socket.write(isFirst ? SUCCESS : FAILURE);
                    if (isFirst) {
                        mVertx.setTimer(COPY_DELAY_MILLIS, timer -> socket.write(PART_OF_COPY));
                    }
                });
    }

    /** Guards against a failure that gets the status of an earlier response's incomplete copy. */
    @Test
    public void failureAfterPartOfCopyIsNotTakenForSuccess() throws InterruptedException {
        HttpEndpoint endpoint = new HttpEndpoint("127.0.0.1", mServer.actualPort());
        HttpEndpointClient client = new HttpEndpointClient(mVertx, endpoint, 1, TIMEOUT_MILLIS);
        assertThat(status(client, "/a")).isEqualTo(200);
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
        assertThat(status(client, "/b")).isNotEqualTo(200);
    }

    /** Returns the status of the response; 0 if there is none. */
    private static int status(HttpEndpointClient client, String path) {
        Single<HttpReply> reply = client.send("GET", path, "", new byte[0], TIMEOUT_MILLIS);
        return reply.map(HttpReply::status).onErrorReturnItem(0).blockingGet();
    }
}

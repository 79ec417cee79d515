package org.cornelway.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.cornelway.ResultInterceptor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the client collects a response even if the calling thread is preempted. */
public class LoopbackHttpClientTest {
    /** Pause of the calling thread, long enough for the body of the response to arrive. */
    private static final long PAUSE_MILLIS = 200;

    private static final long TIMEOUT_SECONDS = 10;

    private Vertx mVertx;
    private HttpServer mServer;

    @BeforeMethod
    public void startServer() {
        mVertx = Vertx.vertx();
        mServer =
                mVertx.createHttpServer()
                        .requestHandler(request -> request.response().end("{}"))
                        .listen(0, "127.0.0.1")
                        .await();
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() {
        mVertx.close().await();
    }

    /**
     * Guards against calls that never complete: a thread that was preempted while it set up a call
     * registered its body handler only after the response had ended.
     */
    @Test
    public void collectsResponseThatEndsBeforeTheCallingThreadContinues() throws Exception {
        LoopbackHttpClient http = new LoopbackHttpClient(withPausesAfterCompose());
        LoopbackHttpClient.Response response =
                http.send("PUT", mServer.actualPort(), "/", "{}")
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("{}");
    }

    /**
     * Returns a Vert.x instance whose HTTP clients pause the calling thread after each {@link
     * Future#compose} on the future of a request.
     */
    private Vertx withPausesAfterCompose() {
        return ResultInterceptor.intercept(
                Vertx.class,
                mVertx,
                "createHttpClient",
                client ->
                        ResultInterceptor.intercept(
                                HttpClientAgent.class,
                                (HttpClientAgent) client,
                                "request",
                                request ->
                                        ResultInterceptor.intercept(
                                                Future.class,
                                                (Future<?>) request,
                                                "compose",
                                                LoopbackHttpClientTest::pause)));
    }

    /** Waits until the future is complete, and then for {@link #PAUSE_MILLIS}. */
    private static Object pause(Object future) {
        Awaitility.await().until(((Future<?>) future)::isComplete);
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return future;
    }
}

package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.ResultInterceptor;
import org.cornelway.config.Json;
import org.cornelway.platform.Member;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a failed read of the instance list does not block later reads. */
public class HttpInstanceListTest {
    private static final Member MEMBER =
            new Member("agent-0", Member.ROLE_AGENT, "127.0.0.1:1", "r1", "z1", false, "", "", 0);

    /** Pause of the thread that reads the list; longer than the time limit of a read. */
    private static final long PAUSE_MILLIS = 2_500;

    private static final int MAX_READS = 5;

    private Vertx mVertx;
    private HttpEndpoint mEndpoint;

    /** Number of further requests that the server leaves unanswered. */
    private final AtomicInteger mUnanswered = new AtomicInteger();

    @BeforeMethod
    public void start() {
        mUnanswered.set(0);
        mVertx = Vertx.vertx();
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(this::answer)
                        .listen(0, "127.0.0.1")
                        .await();
        mEndpoint = new HttpEndpoint("127.0.0.1", server.actualPort());
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mVertx.close().await();
    }

    private void answer(HttpServerRequest request) {
        if (mUnanswered.getAndUpdate(n -> Math.max(0, n - 1)) == 0) {
            request.response().end(new String(Json.write(List.of(MEMBER))));
        }
    }

    /**
     * Reads the list until a read succeeds; after {@link #MAX_READS} reads, fails with the last
     * error.
     */
    private static List<Member> readWithRetries(HttpInstanceList list) {
        return list.instances().retry(MAX_READS - 1).blockingGet();
    }

    /**
     * While a process starts on a loaded machine, the thread that reads the list may take longer
     * than the time limit to request a connection. Such a request was neither sent nor reset, and
     * kept the only connection in use permanently.
     */
    @Test
    public void connectionRequestedForLongerThanTheTimeLimitDoesNotBlockLaterReads() {
        HttpInstanceList list = new HttpInstanceList(withPauseAfterFirstRequest(), mEndpoint);
        list.instances().onErrorReturnItem(List.of()).blockingGet();
        assertThat(readWithRetries(list)).containsExactly(MEMBER);
    }

    /** A request that got no answer kept the only connection in use permanently. */
    @Test
    public void unansweredReadDoesNotBlockLaterReads() {
        mUnanswered.set(1);
        HttpInstanceList list = new HttpInstanceList(mVertx, mEndpoint);
        assertThatThrownBy(() -> list.instances().blockingGet())
                .hasCauseInstanceOf(TimeoutException.class);
        assertThat(readWithRetries(list)).containsExactly(MEMBER);
    }

    /**
     * Returns a Vert.x instance whose HTTP clients pause the thread that opens the first request.
     */
    private Vertx withPauseAfterFirstRequest() {
        AtomicBoolean paused = new AtomicBoolean();
        return ResultInterceptor.intercept(
                Vertx.class,
                mVertx,
                "createHttpClient",
                client ->
                        ResultInterceptor.intercept(
                                HttpClientAgent.class,
                                (HttpClientAgent) client,
                                "request",
                                request -> paused.getAndSet(true) ? request : pause(request)));
    }

    private static Object pause(Object request) {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return request;
    }
}

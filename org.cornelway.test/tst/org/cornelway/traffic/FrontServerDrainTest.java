package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the end of a drain with a traffic thread in the process of the test. */
public class FrontServerDrainTest {
    private static final long DRAIN_MILLIS = 1_000;

    /** Time for which the traffic thread is blocked, beyond the end of the drain. */
    private static final long BLOCK_MILLIS = 2_000;

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Clock mClock = Clock.system();
    private TrafficPlane mPlane;
    private Socket mCaller;

    @BeforeMethod
    public void startServer() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        HttpEndpoint endpoint = new HttpEndpoint("127.0.0.1", port);
        MetricRegistry metrics = new MetricRegistry();
        mPlane =
                new TrafficPlane(
                        new WireCallCodec(),
                        mClock,
                        "z",
                        endpoint,
                        endpoint,
                        new SlidingWindowRetryBudget(mClock, 1_000, 0, 0),
                        (request, tooLate) -> {},
                        new EventLog(mClock, metrics),
                        metrics);
        mPlane.frontServer().start().blockingAwait();
        mCaller = new Socket("127.0.0.1", port);
        mCaller.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() throws IOException {
        mCaller.close();
        mPlane.frontServer().stop().blockingAwait();
        mPlane.shutdown();
    }

    private Deadline drainEnd() {
        return Deadline.after(mClock.nowMillis(), DRAIN_MILLIS);
    }

    private void sendIncompleteRequest() throws IOException {
        String request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx";
        mCaller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void incompleteRequestIsAnsweredAtTheEndOfTheDrain() throws IOException {
        sendIncompleteRequest();
        mPlane.frontServer().drain(drainEnd()).blockingAwait();
        byte[] response = mCaller.getInputStream().readAllBytes();
        assertThat(new String(response, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 503 ");
    }

    @Test
    public void drainEndsAfterLateTrafficThreadHasEndedTheCalls()
            throws IOException, InterruptedException {
        sendIncompleteRequest();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mPlane.frontServer().drain(drainEnd()).subscribe(() -> drained.complete(null));
        Thread.sleep(DRAIN_MILLIS / 2 + DRAIN_MILLIS / 4);
        CountDownLatch unblocked = new CountDownLatch(1);
        mPlane.execute(
                () -> {
                    try {
                        Thread.sleep(BLOCK_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    unblocked.countDown();
                });
        drained.orTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
        assertThat(unblocked.getCount()).isZero();
    }
}

package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.BlackholeProxy;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Tests that requests complete, and that a booking sent twice is executed once, if all open
 * connections between entries and agents stop transmitting data without being closed. New
 * connections work.
 */
public final class SilentConnectionProcessTest extends ProcessTestBase {
    private static final int TOKENS = 400;
    private static final long DEADLINE_MILLIS = 9_000;

    private final Vertx mVertx = Vertx.vertx();
    private final List<BlackholeProxy> mProxies = new ArrayList<>();

    @Override
    void prepare(ProcessFleet fleet) {
        mProxies.clear();
        fleet.startAgentProxies(
                (listenPort, targetPort) -> {
                    BlackholeProxy proxy = new BlackholeProxy(mVertx, targetPort);
                    proxy.listen(listenPort);
                    mProxies.add(proxy);
                });
    }

    @AfterClass
    public void closeProxies() {
        mVertx.close().await();
    }

    @Test
    public void requestsCompleteOnNewConnections() {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            responses.add(
                    fleet().http()
                            .send(
                                    "POST",
                                    fleet().entryHttpPort(i % 2),
                                    "/v1/completions",
                                    completionBody("model-0", TOKENS),
                                    timeoutHeader(DEADLINE_MILLIS)));
        }
        // Each of the 10 requests counts twice: in its entry and in the agent that runs it.
        ProcessFleet.await(
                "all requests to be active in entries and agents",
                () ->
                        status().path("processes").findValues("active").stream()
                                        .mapToInt(active -> active.asInt())
                                        .sum()
                                >= 20);
        mProxies.forEach(BlackholeProxy::blackholeOpenConnections);
        responses.forEach(response -> assertCompleteResponse(response.join(), TOKENS));
        assertThat(book(0, "k1").status()).isEqualTo(OK);
        mProxies.forEach(BlackholeProxy::blackholeOpenConnections);
        assertThat(book(1, "k1").body()).contains("\"runs\":1");
        assertThat(executionCount("k1")).isEqualTo(1);
    }
}

package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttp.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.standin.BlackholeProxy;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Connections between entries and agents that go silent for good while new ones work. */
public final class SilentConnectionProcessTest extends ProcessTestBase {
    private static final int TOKENS = 400;
    private static final long DEADLINE_MILLIS = 9_000;

    private final Vertx mVertx = Vertx.vertx();
    private final List<BlackholeProxy> mLinks = new ArrayList<>();

    @Override
    void prepare(ProcessFleet fleet) {
        mLinks.clear();
        fleet.withAgentProxies(
                (listen, target) -> {
                    BlackholeProxy link = new BlackholeProxy(mVertx, target);
                    link.listen(listen);
                    mLinks.add(link);
                });
    }

    @AfterClass
    public void closeLinks() {
        mVertx.close().await();
    }

    @Test
    public void answersGoOnWholeOnFreshConnections() {
        List<CompletableFuture<Response>> replies = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            replies.add(
                    fleet().http()
                            .send(
                                    "POST",
                                    fleet().entryPort(i % 2),
                                    "/v1/completions",
                                    body("model-0", TOKENS),
                                    timeout(DEADLINE_MILLIS)));
        }
        ProcessFleet.await(
                "the answers to begin",
                () ->
                        status().path("processes").findValues("active").stream()
                                        .mapToInt(active -> active.asInt())
                                        .sum()
                                >= 20);
        mLinks.forEach(BlackholeProxy::blackholeOpenConnections);
        replies.forEach(reply -> assertCompleteResponse(reply.join(), TOKENS));
        assertThat(book(0, "k1").status()).isEqualTo(OK);
        mLinks.forEach(BlackholeProxy::blackholeOpenConnections);
        assertThat(book(1, "k1").body()).contains("\"runs\":1");
        assertThat(executionCount("k1")).isEqualTo(1);
    }
}

package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cornelway.RepeatingServer;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.OrderOutcome;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.PlainResponse;
import org.cornelway.result.Result;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an agent takes no part of a late second answer for the answer to another request. */
public class RepeatedAnswerTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final String CONFLICT_BODY = "{\"highest\":7}";

    private Vertx mVertx;
    private RepeatingServer mServer;

    @BeforeMethod
    public void start() throws IOException {
        mVertx = Vertx.vertx();
        mServer = new RepeatingServer(RepeatedAnswerTest::answer);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        mServer.close();
        mVertx.close().await();
    }

    /** Answers each call with the id of its request, and each order by its path. */
    private static String answer(String request) {
        String id = RepeatingServer.requestId(request);
        if (request.contains("/load ")) {
            return RepeatingServer.answer("200 OK", "", "{}");
        } else if (request.contains("/unload ")) {
            return RepeatingServer.answer("409 Conflict", "", CONFLICT_BODY);
        } else if (request.contains("/completions ")) {
            return RepeatingServer.answer(
                    "200 OK",
                    "X-Request-Id: " + id + "\r\nContent-Type: text/event-stream\r\n",
                    "data: " + id + "\n\ndata: [DONE]\n\n");
        }
        return RepeatingServer.answer("200 OK", "X-Request-Id: " + id + "\r\n", id);
    }

    /** Bytes of the copy that follow the answer at once, and bytes written in all. */
    @DataProvider
    public Object[][] copies() {
        int all = Integer.MAX_VALUE;
        return new Object[][] {
            {0, all},
            {1, all},
            {9, all},
            {17, all},
            {40, all},
            {all, all},
            {0, 12},
            {0, 17},
            {0, 45}
        };
    }

    private HttpEndpoint endpoint() {
        return new HttpEndpoint("127.0.0.1", mServer.port());
    }

    private List<String> complete(HttpModelEngine engine, String id) {
        byte[] body = "{}".getBytes(StandardCharsets.US_ASCII);
        return engine.runCompletion(new CompletionCall(id, "m", "", "/v1/completions", body, 0))
                .map(chunk -> new String(chunk, StandardCharsets.US_ASCII))
                .toList()
                .onErrorReturnItem(List.of("failed"))
                .blockingGet();
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierCompletionIsNotSentToTheNextCaller(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        HttpModelEngine engine = new HttpModelEngine(mVertx, endpoint(), TIMEOUT_MILLIS);
        for (int i = 0; i < 5; i++) {
            assertThat(complete(engine, "call-" + i)).containsExactly("call-" + i);
        }
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierOrdersReplyDoesNotConfirmTheNextOrder(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        HttpModelEngine engine = new HttpModelEngine(mVertx, endpoint(), TIMEOUT_MILLIS);
        EngineOrder load = new EngineOrder(EngineOrder.Kind.LOAD, "m", "", 0, 6);
        EngineOrder unload = new EngineOrder(EngineOrder.Kind.UNLOAD, "m", "", 0, 6);
        assertThat(engine.order(load).blockingGet()).isEqualTo(new OrderOutcome.Done());
        assertThat(engine.order(unload).blockingGet()).isEqualTo(new OrderOutcome.Fenced(7));
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierBookingsAnswerIsNotTakenForTheNextBooking(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        HttpPlainService service = new HttpPlainService(mVertx, endpoint(), TIMEOUT_MILLIS);
        for (int i = 0; i < 5; i++) {
            String id = "booking-" + i;
            Result<PlainResponse> result =
                    service.call(new PlainCall(id, "POST", "/book", "", EMPTY_BODY, ""))
                            .blockingGet();
            assertThat(result.toOptional().map(answer -> new String(answer.body()))).contains(id);
        }
    }
}

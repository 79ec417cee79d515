package org.cornelway.internal.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.SwapResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an answer over HTTP that is cut after any of its bytes is not taken for a whole one by
 * the clients of an agent.
 */
public class CutHttpAnswerTest {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final String FAILED = "failed";
    private static final String BODY = "{\"a\":1}";
    private static final String RANGE = "{\"kvs\":[{\"key\":\"YQ==\",\"value\":\"YQ==\"}]}";
    private static final String FINAL_MARK = "data: [DONE]\n";
    private static final String EVENTS = "data: {\"a\":1}\n\n" + FINAL_MARK + "\n";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH = "Content-Length: %d\r\n\r\n%s";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n";

    /** Neither a length nor chunks: the answer ends with its connection. */
    private static final String CLOSE = "\r\n%2$s";

    private Vertx mVertx;
    private ScriptedServer mServer;

    @BeforeMethod
    public void start() throws IOException {
        mVertx = Vertx.vertx();
        mServer = new ScriptedServer();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mVertx.close().await();
    }

    /** A request by one of the clients. */
    private enum Client {
        PLAIN(BODY, test -> test.plain("POST")),
        PLAIN_HEAD("", test -> test.plain("HEAD")),
        LIST(RANGE, test -> test.store().list("a")),
        LEASE("{\"ID\":\"5\"}", test -> test.store().grantLease(1)),
        SWAP(
                "{\"header\":{\"revision\":\"3\"},\"succeeded\":true}",
                test -> test.store().compareAndSwap("a", 1, new byte[1], 0)),
        COMPLETION(EVENTS, test -> test.complete());

        private final String mBody;
        private final Function<CutHttpAnswerTest, Single<?>> mRequest;

        Client(String body, Function<CutHttpAnswerTest, Single<?>> request) {
            mBody = body;
            mRequest = request;
        }
    }

    private HttpEndpoint endpoint() {
        return new HttpEndpoint("127.0.0.1", mServer.port());
    }

    private EtcdKeyValueStore store() {
        return new EtcdKeyValueStore(mVertx, endpoint(), TIMEOUT_MILLIS);
    }

    private Single<?> plain(String method) {
        return new HttpPlainService(mVertx, endpoint(), TIMEOUT_MILLIS)
                .call(new PlainCall("id", method, "/a", "", new byte[0], ""))
                .map(result -> new String(result.toOptional().orElseThrow().body(), UTF_8));
    }

    private Single<?> complete() {
        return new HttpModelEngine(mVertx, endpoint(), TIMEOUT_MILLIS)
                .runCompletion(new CompletionCall("id", "m", "", "/a", "{}".getBytes(UTF_8), 0))
                .map(event -> new String(event, UTF_8))
                .toList();
    }

    private String outcome(Client client) {
        return client.mRequest
                .apply(this)
                .map(result -> result instanceof SwapResult.Ambiguous ? FAILED : "" + result)
                .map(text -> text.replaceAll("@[0-9a-f]+", ""))
                .onErrorReturnItem(FAILED)
                .blockingGet();
    }

    @DataProvider
    public Object[][] answers() {
        List<Object[]> answers = new ArrayList<>();
        for (Client client : Client.values()) {
            for (String framing : List.of(LENGTH, CHUNKS, CLOSE)) {
                answers.add(new Object[] {client, framing, Close.FIN});
                answers.add(new Object[] {client, framing, Close.RESET});
            }
        }
        return answers.toArray(Object[][]::new);
    }

    private static String answer(Client client, String framing) {
        String body = client.mBody;
        String bytes = "HTTP/1.1 200 S\r\n" + String.format(framing, body.length(), body);
        return client == Client.PLAIN_HEAD ? bytes.substring(0, headLength(bytes)) : bytes;
    }

    private static int headLength(String bytes) {
        return bytes.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    }

    /** Returns the length up to which all bytes are needed; a completion ends with its mark. */
    private static int neededLength(Client client, String bytes) {
        return client == Client.COMPLETION
                ? bytes.indexOf(FINAL_MARK) + FINAL_MARK.length()
                : bytes.length();
    }

    /** Guards against a part of an answer that is taken for the whole. */
    @Test(dataProvider = "answers")
    public void cutAnswerOverHttpIsNotTakenForWhole(Client client, String framing, Close close) {
        String bytes = answer(client, framing);
        mServer.setAnswer(new ScriptedServer.Answer(bytes, Close.FIN, 0));
        assertThat(outcome(client)).isNotEqualTo(FAILED);
        for (int cut = 0; cut < neededLength(client, bytes); cut++) {
            mServer.setAnswer(new ScriptedServer.Answer(bytes.substring(0, cut), close, 0));
            // Nothing tells such a cut from the end of an answer of a plain service.
            boolean isAllowed =
                    client == Client.PLAIN
                            && framing.equals(CLOSE)
                            && close == Close.FIN
                            && cut >= headLength(bytes);
            assertThat(outcome(client))
                    .as(close + " after byte " + cut + " of " + bytes)
                    .isEqualTo(isAllowed ? bytes.substring(headLength(bytes), cut) : FAILED);
        }
    }
}

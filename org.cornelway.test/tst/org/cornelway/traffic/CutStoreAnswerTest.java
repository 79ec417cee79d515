package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.StoreRevision;
import org.cornelway.platform.SwapResult;
import org.cornelway.platform.wire.WireStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an answer of the platform's key-value service that is cut after any of its bytes is
 * not taken for a whole one, such as a listing without items.
 */
public class CutStoreAnswerTest extends EntryTestBase {
    private static final long REVISION = StoreRevision.of(0, 1);

    private static final String ITEM =
            "{\"Key\":\"servers/a\",\"Value\":\"YQ==\",\"Revision\":7,\"Created\":3,\"Lease\":0}";
    private static final String LISTING =
            "{\"items\":[" + ITEM + "],\"HasMore\":false,\"CurrentRev\":9}";
    private static final String CHANGES = "{\"events\":[" + ITEM + "],\"CurrentRev\":9}";
    private static final String CONFLICT = "{\"items\":[" + ITEM + "]}";
    private static final List<String> FRAMINGS =
            List.of(
                    "Content-Length: %d\r\n\r\n%s",
                    "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", "\r\n%2$s");

    /** What a request to the service comes to, as text; "failed" if it has no result. */
    private static String outcome(Single<?> request) {
        return request.map(CutStoreAnswerTest::describe).onErrorReturnItem("failed").blockingGet();
    }

    private static String describe(Object result) {
        if (result instanceof SwapResult.Ambiguous) {
            return "failed";
        }
        Object value = result instanceof Optional<?> optional ? optional.orElse(null) : result;
        return value instanceof Record ? value.toString().replaceAll("@[0-9a-f]+", "") : "" + value;
    }

    @DataProvider
    public Object[][] requests() {
        byte[] value = {1};
        List<Object[]> requests = new ArrayList<>();
        for (String framing : FRAMINGS) {
            for (Close close : List.of(Close.FIN, Close.RESET)) {
                add(requests, framing, close, "200", LISTING, store -> store.listAll("servers/"));
                add(requests, framing, close, "200", ITEM, store -> store.get("servers/a"));
                add(requests, framing, close, "200", "{\"Lease\":5}", store -> store.grantLease(9));
                add(
                        requests,
                        framing,
                        close,
                        "200",
                        "{\"Revision\":8}",
                        store -> store.compareAndSwap("a", REVISION, value, 0));
                add(
                        requests,
                        framing,
                        close,
                        "412",
                        CONFLICT,
                        store -> store.compareAndSwap("a", REVISION, value, 0));
            }
        }
        return requests.toArray(Object[][]::new);
    }

    private static void add(
            List<Object[]> requests,
            String framing,
            Close close,
            String status,
            String body,
            Function<WireStore, Single<?>> request) {
        requests.add(new Object[] {answer(framing, status, body), close, request});
    }

    private static String answer(String framing, String status, String body) {
        return "HTTP/1.1 " + status + " S\r\n" + String.format(framing, body.length(), body);
    }

    /** Guards against an empty body that is taken for a listing without items. */
    @Test(dataProvider = "requests")
    public void cutAnswerOfTheStoreIsNotTakenForWhole(
            String bytes, Close close, Function<WireStore, Single<?>> request) {
        WireStore store = newStore();
        server().setAnswer(new ScriptedServer.Answer(bytes, Close.FIN, 0));
        String whole = outcome(request.apply(store));
        assertThat(whole).isNotEqualTo("failed");
        for (int cut = 0; cut < bytes.length(); cut++) {
            server().setAnswer(new ScriptedServer.Answer(bytes.substring(0, cut), close, 0));
            String where = close + " after byte " + cut + " of " + bytes;
            assertThat(outcome(request.apply(store))).as(where).isEqualTo("failed");
        }
    }

    /** A cut answer to a wait for changes may read as no change, never as a part of them. */
    @Test
    public void cutAnswerToWaitChangesNothing() {
        WireStore store = newStore();
        for (String framing : FRAMINGS) {
            String bytes = answer(framing, "200", CHANGES);
            for (int cut = 0; cut < bytes.length(); cut++) {
                server().setAnswer(
                                new ScriptedServer.Answer(bytes.substring(0, cut), Close.FIN, 0));
                assertThat(outcome(store.changes("a", REVISION, 0)))
                        .as("cut after byte " + cut + " of " + bytes)
                        .isIn(
                                "failed",
                                "ChangePage[changes=[], revision="
                                        + REVISION
                                        + ", complete=false]");
            }
        }
    }
}

package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Optional;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response whose status HTTP does not define is no answer to anybody. */
public class StatusOutOfRangeTest extends EntryTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final ServerOrder ORDER =
            new ServerOrder(true, "m", Optional.empty(), 2, "entry-0", 1);

    /** Header that a server adds to its answer to a call, and not to its reply to an order. */
    private static final String ID = "X-Request-Id: " + REQUEST_ID + "\r\n";

    @BeforeMethod
    public void announce() {
        announceServer();
    }

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{"000"}, {"099"}, {"600"}, {"999"}};
    }

    private static ScriptedServer.Answer answer(String status, String headers) {
        return new ScriptedServer.Answer(
                "HTTP/1.1 " + status + " Odd\r\n" + headers + "Content-Length: 2\r\n\r\n{}",
                Close.FIN,
                0);
    }

    private WireResponse call(String path) throws IOException {
        return WireResponse.read(callUntilClose("POST", path), false);
    }

    /** Guards against passing on a status that is no answer; the call may have run. */
    @Test(dataProvider = "statuses")
    public void callThatMayHaveRunGetsBadGateway(String status) throws IOException {
        server().setAnswer(answer(status, ID));
        assertThat(call(UNSAFE_PATH).status()).isEqualTo(BAD_GATEWAY);
    }

    /** Guards against taking such a status as proof that the call has not run. */
    @Test(dataProvider = "statuses")
    public void statusIsNoProofThatTheCallHasNotRun(String status) throws IOException {
        server().setAnswer(answer(status, ID + "X-Not-Run: 1\r\n"));
        assertThat(call(UNSAFE_PATH).status()).isEqualTo(BAD_GATEWAY);
    }

    /** Guards against passing on such a status while another server could answer. */
    @Test(dataProvider = "statuses")
    public void streamIsSentAgain(String status) throws IOException {
        ScriptedServer.Answer event =
                new ScriptedServer.Answer(
                        "HTTP/1.1 200 OK\r\n"
                                + ID
                                + "X-Server-Stamp: s\r\n"
                                + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
                        Close.FIN,
                        0);
        server().setAnswers(answer(status, ID), event);
        WireResponse response = call(RESUMABLE_PATH);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).contains("id: 1");
    }

    /** Guards against an order that counts as rejected although the engine may carry it out. */
    @Test(dataProvider = "statuses")
    public void orderStaysUnconfirmed(String status) {
        server().setAnswer(answer(status, ""));
        assertThat(
                        newEngineControl(TIMEOUT_MILLIS)
                                .order(serverRecord(), ORDER, SendPermit.ALWAYS)
                                .blockingGet())
                .isInstanceOf(OrderReply.Unconfirmed.class);
    }
}

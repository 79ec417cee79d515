package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests reports of engines and replies to orders that are cut after each of their bytes. */
public class CutEngineAnswerTest extends EntryTestBase {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String REPORT =
            "{\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m\",\"Adapters\":[]}],\"Seq\":2}";
    private static final ServerOrder ORDER =
            new ServerOrder(true, "m", Optional.empty(), 2, "entry-0", 1);

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {
            {"Content-Length: %d\r\n\r\n%s", Close.FIN},
            {"Content-Length: %d\r\n\r\n%s", Close.RESET},
            {"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", Close.FIN},
            {"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", Close.RESET},
            {"\r\n%2$s", Close.FIN},
            {"\r\n%2$s", Close.RESET},
        };
    }

    private static String answer(String status, String framing, String body) {
        return "HTTP/1.1 " + status + " S\r\n" + String.format(framing, body.length(), body);
    }

    /** Guards against a part of a report, as one without models, that is taken for the whole. */
    @Test(dataProvider = "framings")
    public void cutReportIsNotTakenForWhole(String framing, Close close) {
        EngineControl engine = newEngineControl(TIMEOUT_MILLIS);
        String bytes = answer("200", framing, REPORT);
        for (int cut = 0; cut < bytes.length(); cut++) {
            server().setAnswer(new ScriptedServer.Answer(bytes.substring(0, cut), close, 0));
            assertThat(
                            engine.report(serverRecord())
                                    .map(report -> "a report")
                                    .onErrorReturnItem("failed")
                                    .blockingGet())
                    .as(close + " after byte " + cut + " of " + bytes)
                    .isEqualTo("failed");
        }
    }

    /** Guards against the reply to an order that is believed before it is complete. */
    @Test(dataProvider = "framings")
    public void cutReplyToAnOrderLeavesTheOrderUnconfirmed(String framing, Close close) {
        EngineControl engine = newEngineControl(TIMEOUT_MILLIS);
        String bytes = answer("202", framing, "{\"a\":1}");
        boolean endsWithConnection = framing.startsWith("\r\n") && close == Close.FIN;
        // Such a reply is complete with its head, and only its status is used.
        int needed =
                endsWithConnection
                        ? bytes.indexOf(END_OF_HEAD) + END_OF_HEAD.length()
                        : bytes.length();
        for (int cut = 0; cut < needed; cut++) {
            server().setAnswer(new ScriptedServer.Answer(bytes.substring(0, cut), close, 0));
            assertThat(engine.order(serverRecord(), ORDER, SendPermit.ALWAYS).blockingGet())
                    .as(close + " after byte " + cut + " of " + bytes)
                    .isInstanceOf(OrderReply.Unconfirmed.class);
        }
    }
}

package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an entry reads the limits that engines name in replies to reports and orders. */
public class ServerLimitReplyTest extends EntryTestBase {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final String LIMITED = "Server-Limit: 1.2\r\n";
    private static final ServerOrder ORDER =
            new ServerOrder(true, "m", Optional.empty(), 2, "entry-0", 1);

    private EngineControl mEngines;

    @BeforeMethod
    public void announceNewEngine() {
        announceServer();
        mEngines = newEngineControl(TIMEOUT_MILLIS);
    }

    private void report(String status, String headers) {
        setAnswer(status, headers, "{\"Models\":[],\"Seq\":2}");
        Single<String> result =
                mEngines.report(serverRecord())
                        .map(report -> "report")
                        .onErrorReturn(Throwable::getMessage);
        assertThat(result.blockingGet())
                .isEqualTo(status.equals("200") ? "report" : "/report answered status " + status);
    }

    private OrderReply order(String status, String headers) {
        setAnswer(status, headers, "");
        OrderReply reply = mEngines.order(serverRecord(), ORDER, SendPermit.ALWAYS).blockingGet();
        assertThat(reply).isNotInstanceOf(OrderReply.Unconfirmed.class);
        return reply;
    }

    private void setAnswer(String status, String headers, String body) {
        String length = "Content-Length: " + body.length() + "\r\n\r\n";
        String bytes =
                "HTTP/1.1 " + status + " S\r\nConnection: close\r\n" + headers + length + body;
        server().setAnswer(new ScriptedServer.Answer(bytes, Close.FIN, 0));
    }

    /** Answers a call without a model. */
    private void call(String headers) throws Exception {
        setAnswer("200", "X-Request-Id: " + REQUEST_ID + "\r\nX-Server-Stamp: s\r\n" + headers, "");
        assertThat(callUntilClose("POST", UNSAFE_PATH)).startsWith("HTTP/1.1 200 ");
    }

    /** Returns the limit that the entry knows and will report to the controller. */
    private OptionalDouble knownLimit() {
        CompletableFuture<TrafficReport> report = new CompletableFuture<>();
        traffic().report(report::complete);
        return report.join().limits().limits().stream()
                .filter(each -> each.server().equals(serverRecord().incarnation()))
                .map(LimitObservation::callsPerSecond)
                .findFirst()
                .orElse(OptionalDouble.empty());
    }

    @Test
    public void limitNamedInReportOnlyIsKnown() {
        report("200", LIMITED);
        assertThat(knownLimit()).hasValue(1.2);
    }

    @Test
    public void limitNamedInReplyToAnOrderOnlyIsKnown() {
        assertThat(order("202", LIMITED)).isInstanceOf(OrderReply.Accepted.class);
        assertThat(knownLimit()).hasValue(1.2);
    }

    @Test
    public void limitNamedInRefusalsOfReportsAndOrdersIsKnown() {
        report("503", LIMITED);
        assertThat(knownLimit()).hasValue(1.2);
        order("409", "Server-Limit: 0.7\r\n");
        assertThat(knownLimit()).hasValue(0.7);
    }

    /** Guards against a limit that stays because its server gets no calls. */
    @Test
    public void limitEndsWithReportThatNamesNoneAfterOneThatDid() throws Exception {
        call(LIMITED);
        report("200", LIMITED);
        report("200", "");
        assertThat(knownLimit()).isEmpty();
    }

    @Test
    public void limitEndsWithReplyToAnOrderThatNamesNoneAfterReportThatDid() throws Exception {
        call(LIMITED);
        report("200", LIMITED);
        order("202", "");
        assertThat(knownLimit()).isEmpty();
    }

    /** Guards against reports that end a limit of a server that names it to callers only. */
    @Test
    public void limitThatOnlyAnswersToCallsNameIsNotEndedByReports() throws Exception {
        call(LIMITED);
        report("200", "");
        order("202", "");
        assertThat(knownLimit()).hasValue(1.2);
        Deadline until = Deadline.after(Clock.system().nowMillis(), TIMEOUT_MILLIS);
        traffic().updateLimits(List.of(), Map.of(serverRecord().incarnation(), 1), until);
        call("");
        assertThat(knownLimit()).isEmpty();
    }

    @Test
    public void malformedLimitInReportChangesNothing() {
        report("200", LIMITED);
        report("200", "Server-Limit: -1\r\n");
        assertThat(knownLimit()).hasValue(1.2);
    }

    @Test
    public void limitInReplyOfAnotherServerIsIgnored() {
        report("421", "X-Instance-Id: other\r\n" + LIMITED);
        assertThat(knownLimit()).isEmpty();
    }
}

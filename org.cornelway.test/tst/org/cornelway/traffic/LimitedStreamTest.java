package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.ScriptedServer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/** Tests a stream that has begun and waits for a server that is at its limit. */
public class LimitedStreamTest extends EntryTestBase {
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nServer-Limit: 0.1\r\nX-Request-Id: "
                    + REQUEST_ID
                    + "\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";

    private static final long REPORT_MILLIS = 500;
    private static final int REPORTS = 6;
    private static final long PERMIT_MILLIS = 1_000;

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    private static ScriptedServer.Answer closing(String bytes) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.Close.FIN, 0);
    }

    private String call() {
        try {
            return callUntilClose("GET", RESUMABLE_PATH);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ServerLimits.Report takeReport() {
        CompletableFuture<ServerLimits.Report> report = new CompletableFuture<>();
        traffic().report(each -> report.complete(each.limits()));
        return report.join();
    }

    /** Guards against a stream whose claim to a permit lapses while its caller waits. */
    @Test
    public void brokenStreamAsksForPermitInEachReportAndGoesOnWithOne()
            throws InterruptedException {
        announceServer();
        ServerIncarnation server = serverRecord().incarnation();
        server().setAnswers(
                        closing(STREAM_HEAD + event(1) + "id: 2"), closing(STREAM_HEAD + event(2)));
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(this::call);
        TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
        takeReport();
        for (int i = 0; i < REPORTS; i++) {
            TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
            assertThat(takeReport().wanted()).as("report " + i).containsKey(server);
        }
        traffic()
                .updateLimits(
                        List.of(),
                        Map.of(server, 1),
                        Deadline.after(Clock.system().nowMillis(), PERMIT_MILLIS));
        assertThat(answer.join()).contains(event(1), event(2)).endsWith("\r\n0\r\n\r\n");
    }
}

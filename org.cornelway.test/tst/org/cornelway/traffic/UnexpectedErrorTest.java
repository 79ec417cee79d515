package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.function.LongConsumer;
import org.cornelway.ScriptedServer;
import org.testng.annotations.Test;

/** Tests that callers get a response although an unexpected error ends the handling of a call. */
public class UnexpectedErrorTest extends EntryTestBase {
    private static final String MODEL = "m";
    private static final String MODEL_HEADER = "X-Model: " + MODEL + "\r\n";
    private static final String IDS = "X-Request-Id: " + REQUEST_ID + "\r\nX-Server-Stamp: s\r\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\n" + IDS + "Content-Type: text/event-stream\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: x\n\n";
    private static final String MISDIRECTED =
            "HTTP/1.1 421 Misdirected Request\r\n"
                    + "X-Request-Id: "
                    + REQUEST_ID
                    + "\r\nX-Instance-Id: e1\r\nContent-Length: 0\r\n\r\n";

    /** Fails, as a fault of this process would. */
    @Override
    void requestModel(ModelRequester.Request request, LongConsumer tooLate) {
        throw new IllegalStateException("a fault of this process");
    }

    private static ScriptedServer.Answer closing(String bytes) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.Close.FIN, 0);
    }

    /** Guards against a connection that is closed without a response as the call begins. */
    @Test
    public void callIsRefusedAfterErrorBeforeItIsSent() throws IOException {
        announceServer();
        assertThat(callUntilClose("GET", STREAM_PATH, MODEL_HEADER))
                .startsWith("HTTP/1.1 503 ")
                .contains("FAILED_BEFORE_RUN");
    }

    /** Guards against a call that hangs after an error in the handling of a refusal. */
    @Test
    public void callIsRefusedAfterErrorBehindRefusal() throws IOException {
        announceServer();
        grantModel(MODEL);
        server().setAnswers(closing(MISDIRECTED));
        assertThat(callUntilClose("GET", STREAM_PATH, MODEL_HEADER))
                .startsWith("HTTP/1.1 503 ")
                .contains("FAILED_BEFORE_RUN");
    }

    /** Guards against a stream that hangs after an error in the handling of its broken answer. */
    @Test
    public void streamIsCutAfterErrorBehindBrokenAnswer() throws IOException {
        announceServer();
        grantModel(MODEL);
        server().setAnswers(closing(STREAM_HEAD + EVENT + "id: 2"), closing(MISDIRECTED));
        assertThat(callUntilClose("GET", RESUMABLE_PATH, MODEL_HEADER))
                .startsWith("HTTP/1.1 200 ")
                .contains(EVENT)
                .doesNotEndWith("0\r\n\r\n");
    }
}

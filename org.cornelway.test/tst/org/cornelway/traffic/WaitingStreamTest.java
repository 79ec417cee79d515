package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import org.cornelway.ScriptedServer;
import org.testng.annotations.Test;

/** Tests a stream that has begun and waits for a server that holds its model. */
public class WaitingStreamTest extends EntryTestBase {
    private static final String MODEL = "m";
    private static final String HEADERS =
            "X-Request-Id: " + REQUEST_ID + "\r\nX-Server-Stamp: s\r\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\n" + HEADERS + "Content-Type: text/event-stream\r\n\r\n";
    private static final String MISDIRECTED =
            "HTTP/1.1 421 Misdirected Request\r\n"
                    + "X-Request-Id: "
                    + REQUEST_ID
                    + "\r\nX-Instance-Id: e1\r\nContent-Length: 0\r\n\r\n";

    private final AtomicInteger mModelRequests = new AtomicInteger();

    /** At first says that the model will be available too late; then grants it. */
    @Override
    void requestModel(ModelRequester.Request request, LongConsumer tooLate) {
        if (mModelRequests.incrementAndGet() == 1) {
            tooLate.accept(60_000);
        } else {
            grantModel(MODEL);
        }
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    private static ScriptedServer.Answer closing(String bytes) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.Close.FIN, 0);
    }

    /** Guards against a stream that is cut because its model may come too late. */
    @Test
    public void brokenStreamWaitsForModelThatIsExpectedTooLate() throws IOException {
        announceServer();
        grantModel(MODEL);
        server().setAnswers(
                        closing(STREAM_HEAD + event(1) + "id: 2"),
                        closing(MISDIRECTED),
                        closing(STREAM_HEAD + event(2)));
        assertThat(callUntilClose("GET", RESUMABLE_PATH, "X-Model: " + MODEL + "\r\n"))
                .contains(event(1), event(2))
                .endsWith("\r\n0\r\n\r\n");
        assertThat(mModelRequests).hasValue(2);
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests streams that broke off and that the next server does not resume. */
public class ErrorInStreamProcessTest extends DirectTestBase {
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    /** Number of streams; some of them begin at the server that breaks off. */
    private static final int STREAMS = 6;

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    /** Returns the bytes that the entry sends until the stream ends or the connection closes. */
    private String streamBytes() throws IOException {
        try (RawCall call = new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS)) {
            String headers = "X-Deadline-Ms: 10000\r\nX-Model: m1\r\nContent-Length: 1\r\n";
            call.sendHead("/resume/a", newRequestId(), headers);
            call.send("p");
            return call.readUntil(LAST_CHUNK);
        }
    }

    /**
     * Guards against an error in the middle of a stream, and against a caller that is left waiting
     * for the rest of it.
     */
    @Test
    public void errorOfTheNextServerIsNotPartOfTheStream() throws IOException {
        fleet().backendServer("e1").injectFault(Fault.TRUNCATED_RESPONSE);
        fleet().backendServer("e2").injectFault(Fault.RESUME_REJECTED);
        int cut = 0;
        for (int i = 0; i < STREAMS; i++) {
            String bytes = streamBytes();
            assertThat(bytes).startsWith("HTTP/1.1 200");
            assertThat(bytes).doesNotContain("404 Not Found", "no such stream");
            boolean hasAllEvents = bytes.contains("id: " + EVENTS + "\n");
            assertThat(bytes.endsWith(LAST_CHUNK)).as(bytes).isEqualTo(hasAllEvents);
            cut += hasAllEvents ? 0 : 1;
        }
        assertThat(cut).isPositive();
    }
}

package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests bodies of callers that arrive in the smallest chunks. */
public class SmallChunksProcessTest extends DirectTestBase {
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int BODY_BYTES = 900_000;
    private static final int CHUNKS_PER_WRITE = 1_000;

    @Override
    void prepareFleet(DirectFleet fleet) {
        // Without the bytes of each chunk's own objects the body is a small part of the heap.
        fleet.setFlags("-Xmx64m");
    }

    /** Guards against memory for each chunk of a body, which ended the process. */
    @Test
    public void bodyInChunksOfOneByteIsForwarded() throws IOException {
        try (RawCall call = new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS)) {
            String headers = "X-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n";
            call.sendHead("/unsafe/a", newRequestId(), headers);
            String chunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
            for (int i = 0; i < BODY_BYTES / CHUNKS_PER_WRITE; i++) {
                call.send(chunks);
            }
            call.send("0\r\n\r\n");
            assertThat(call.readUntil("\r\n")).startsWith("HTTP/1.1 200");
        }
        assertThat(fleet().backendServer("p1").receivedCalls().get(0).body()).hasSize(BODY_BYTES);
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
    }
}

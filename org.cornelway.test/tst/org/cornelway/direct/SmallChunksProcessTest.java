package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
        fleet.setHeap("-Xmx64m");
    }

    /** Guards against memory for each chunk of a body, which ended the process. */
    @Test
    public void bodyInChunksOfOneByteIsForwarded() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", fleet().frontPort(0))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String head =
                    "POST /unsafe/a HTTP/1.1\r\nHost: "
                            + DirectFleet.HOST
                            + "\r\nX-Request-Id: "
                            + newRequestId()
                            + "\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n";
            byte[] chunks =
                    "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < BODY_BYTES / CHUNKS_PER_WRITE; i++) {
                out.write(chunks);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
        }
        assertThat(fleet().backendServer("p1").receivedCalls().get(0).body()).hasSize(BODY_BYTES);
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
    }
}

package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.Test;

/** Tests that an unexpected error ends no answer that it does not concern, and leaves no call. */
public class FaultBesideCallTest extends HedgeTestBase {
    private static final String ID = "call-1";
    private static final String CONNECT_FAILED = "Attempt.onConnectFailed";
    private static final String RECORD_END = "CallLog.recordEnd";
    private static final int CONNECT_TIMEOUT_MILLIS = 100;
    private static final long END_TIMEOUT_MILLIS = 3_000;
    private static final long POLL_MILLIS = 10;

    /** Longer than the delay from which a traffic thread is late. */
    private static final long BLOCK_MILLIS = 500;

    private final FaultyClock mClock = new FaultyClock();

    @Override
    Clock newClock() {
        return mClock;
    }

    private static Script whole(long afterMillis, String body) {
        return new Script(List.of(new Part(afterMillis, answer("200 OK", ID, body))), false);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A stream that is silent between its events. */
    private static Script pausedStream(long pauseMillis) {
        String head = head("200 OK", ID, "Transfer-Encoding: chunked");
        return new Script(
                List.of(
                        new Part(0, head + chunk("id: 1\ndata: a\n\n")),
                        new Part(pauseMillis, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")),
                false);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return closed.getLocalPort();
        }
    }

    private void awaitFault() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MILLIS);
        while (!mClock.hasFailed() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(mClock.hasFailed()).as("the fault has occurred").isTrue();
    }

    /** Guards against a stream that is cut because of a fault in the handling of its hedge. */
    @Test
    public void faultOfHedgeDoesNotEndStreamThatGoesOn() throws Exception {
        mClock.failOnceIn(CONNECT_FAILED);
        announce(closedPort());
        first().setScripts(head -> pausedStream(1_300));
        assertThat(call(STREAM_PATH)).contains("id: 1\n", "id: 2\n").endsWith("0\r\n\r\n");
        awaitFault();
    }

    /** Guards against the end of a call because of a fault in the call before it. */
    @Test
    public void faultAfterResponseDoesNotEndNextCallOfConnection() throws Exception {
        mClock.failOnceIn(CONNECT_FAILED);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket full = new ServerSocket(0, 1, loopback);
                Socket one = new Socket();
                Socket two = new Socket()) {
            InetSocketAddress address = new InetSocketAddress(loopback, full.getLocalPort());
            one.connect(address, CONNECT_TIMEOUT_MILLIS);
            two.connect(address, CONNECT_TIMEOUT_MILLIS);
            announce(full.getLocalPort());
            first().setScripts(head -> whole(head.contains(SAFE_PATH) ? 700 : 1_200, "done"));
            try (Socket caller = sendKept(SAFE_PATH)) {
                assertThat(readOne(caller)).startsWith("HTTP/1.1 200").endsWith("done");
                writeKept(caller, UNSAFE_PATH);
                assertThat(readOne(caller)).startsWith("HTTP/1.1 200").endsWith("done");
            }
        }
        awaitFault();
    }

    /** Guards against a server that goes on with a call whose caller has left. */
    @Test
    public void callIsCancelledAlthoughItsEndIsNotRecorded() throws Exception {
        mClock.failOnceIn(RECORD_END);
        first().setScripts(head -> new Script(List.of(), false));
        try (Socket caller = send(UNSAFE_PATH, ID)) {
            assertThat(caller.isConnected()).isTrue();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MILLIS);
            while (first().arrivals() == 0 && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
        awaitFault();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MILLIS);
        while (first().ends() == 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(first().ends()).isEqualTo(1);
    }

    /** Guards against a caller that waits for ever after a fault in the handling of a fault. */
    @Test
    public void connectionIsClosedAfterFaultInHandlingOfFault() throws Exception {
        mClock.failOnceIn("Attempt.onFailed", RECORD_END);
        first().setScripts(head -> new Script(List.of(new Part(0, "")), true));
        assertThat(call(UNSAFE_PATH)).isEmpty();
        awaitFault();
    }

    private static void block() {
        try {
            TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a connection that stays open and unused after a fault before a late send. */
    @Test
    public void faultBeforeLateSendClosesConnection() throws Exception {
        mClock.failOnceIn("Attempt.sendIfOpen");
        traffic().execute(FaultBesideCallTest::block);
        assertThat(call(UNSAFE_PATH)).startsWith("HTTP/1.1 503 ").contains("FAILED_BEFORE_RUN");
        awaitFault();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MILLIS);
        while (first().ends() == 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(first().ends()).isEqualTo(1);
    }

    private Socket sendKept(String path) throws IOException {
        Socket socket = connect();
        writeKept(socket, path);
        return socket;
    }

    private static void writeKept(Socket socket, String path) throws IOException {
        String head = "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + ID;
        socket.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until a body has arrived or the connection is closed. */
    private static String readOne(Socket socket) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith("done")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return read.toString();
            }
            read.append((char) next);
        }
        return read.toString();
    }
}

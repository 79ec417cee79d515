package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams of silent servers at an entry whose traffic thread is late. */
public class LateEntryTest extends HedgeTestBase {
    private static final String ID = "call-1";
    private static final String HEAD =
            head("200 OK", ID, "Transfer-Encoding: chunked") + events(1, 2);
    private static final String REST = events(3, 5) + "0\r\n\r\n";
    private static final String RESUMED_HEAD = head("200 OK", ID, "Transfer-Encoding: chunked");

    /** From the start of a stream to its rest; the stream is hedged a while before. */
    private static final long PAUSE_MILLIS = 1_250;

    /** From the hedge to the failure of its server; later than the thread is blocked. */
    private static final long FAILURE_MILLIS = 900;

    private static final long WAIT_SECONDS = 5;

    private final BlockingCodec mCodec = new BlockingCodec();

    @Override
    CallCodec newCodec() {
        return mCodec;
    }

    private static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int id = first; id <= last; id++) {
            String text = "id: " + id + "\ndata: piece\n\n";
            events.append(Integer.toHexString(text.length())).append("\r\n").append(text);
            events.append("\r\n");
        }
        return events.toString();
    }

    /** Returns the ids of five events, as an answer has them. */
    private static List<String> wholeIds() {
        return IntStream.rangeClosed(1, 5).mapToObj(id -> "id: " + id).toList();
    }

    private static List<String> ids(String response) {
        return response.lines().filter(line -> line.startsWith("id: ")).toList();
    }

    /** Sets the answer to the stream; returns the number of times it is sent to the server. */
    private static AtomicInteger answerStream(TimedServer server, Script stream) {
        AtomicInteger arrivals = new AtomicInteger();
        Script other =
                new Script(
                        List.of(new Part(0, answer("200 OK", BlockingCodec.BLOCKING_ID, "done"))),
                        false);
        server.setScripts(
                head -> {
                    if (head.contains(UNSAFE_PATH)) {
                        return other;
                    }
                    arrivals.incrementAndGet();
                    return stream;
                });
        return arrivals;
    }

    /** Calls for a stream; blocks the traffic thread once, as soon as the stream is hedged. */
    private String streamWithBlock(AtomicInteger hedges, long blockMillis) throws Exception {
        mCodec.setBlockMillis(blockMillis);
        try (Socket stream = send(STREAM_PATH, ID)) {
            long start = System.nanoTime();
            while (hedges.get() == 0
                    && System.nanoTime() - start < TimeUnit.SECONDS.toNanos(WAIT_SECONDS)) {
                Thread.sleep(1);
            }
            try (Socket blocking = send(UNSAFE_PATH, BlockingCodec.BLOCKING_ID)) {
                return readAll(stream);
            }
        }
    }

    @DataProvider
    public Object[][] blocks() {
        return new Object[][] {{400L}, {600L}};
    }

    /** Guards against a sound server that is left since what it sent is not read yet. */
    @Test(dataProvider = "blocks")
    public void streamThatWentOnUnreadIsNotEnded(long blockMillis) throws Exception {
        Script paused = new Script(List.of(new Part(0, HEAD), new Part(PAUSE_MILLIS, REST)), false);
        AtomicInteger runs = answerStream(first(), paused);
        AtomicInteger hedges =
                answerStream(second(), new Script(List.of(new Part(FAILURE_MILLIS, "")), true));
        assertThat(ids(streamWithBlock(hedges, blockMillis))).isEqualTo(wholeIds());
        assertThat(runs).hasValue(1);
        assertThat(hedges).hasValue(1);
    }

    /** Guards against a hedge that is ended since what its server sent is not read yet. */
    @Test(dataProvider = "blocks")
    public void hedgeThatWentOnUnreadIsNotEnded(long blockMillis) throws Exception {
        AtomicInteger runs = answerStream(first(), new Script(List.of(new Part(0, HEAD)), false));
        AtomicInteger hedges =
                answerStream(
                        second(), new Script(List.of(new Part(100, RESUMED_HEAD + REST)), false));
        assertThat(ids(streamWithBlock(hedges, blockMillis))).isEqualTo(wholeIds());
        assertThat(runs).hasValue(1);
        assertThat(hedges).hasValue(1);
    }

    @DataProvider
    public Object[][] delays() {
        return new Object[][] {{180L}, {300L}};
    }

    /** Guards against an entry that is always late and leaves no server that hangs. */
    @Test(dataProvider = "delays")
    public void streamOfHangingServerIsMovedWhileThreadIsAlwaysLate(long delayMillis)
            throws Exception {
        answerStream(first(), new Script(List.of(new Part(0, HEAD)), false));
        answerStream(second(), new Script(List.of(new Part(0, RESUMED_HEAD + REST)), false));
        assertThat(ids(callWhileLate(STREAM_PATH, delayMillis))).isEqualTo(wholeIds());
    }

    /** Guards against an entry that is always late and waits for a server that hangs. */
    @Test(dataProvider = "delays")
    public void safeCallIsSentToSecondServerWhileThreadIsAlwaysLate(long delayMillis)
            throws Exception {
        second().setScripts(
                        head ->
                                new Script(
                                        List.of(new Part(0, answer("200 OK", ID, "done"))), false));
        assertThat(callWhileLate(SAFE_PATH, delayMillis)).startsWith("HTTP/1.1 200");
    }

    /** Calls while the traffic thread is late all the time. */
    private String callWhileLate(String path, long delayMillis) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        CompletableFuture<Void> blocks =
                CompletableFuture.runAsync(() -> blockUntil(ended, delayMillis));
        try {
            return call(path);
        } finally {
            ended.set(true);
            blocks.join();
        }
    }

    /** Blocks the traffic thread again and again; it runs for a moment in between. */
    private void blockUntil(AtomicBoolean ended, long delayMillis) {
        while (!ended.get()) {
            CompletableFuture<Void> block = new CompletableFuture<>();
            traffic()
                    .execute(
                            () -> {
                                BlockingCodec.block(delayMillis);
                                block.complete(null);
                            });
            block.join();
            BlockingCodec.block(20);
        }
    }
}

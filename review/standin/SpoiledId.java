import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One model server of three spoils one event of one answer in fifty or more and sends nothing more
 * of it.
 * Three plain servers of 21 leave nine of twenty of their calls without an answer; the callers must
 * be told at the timeout of the route. TROUBLE=0 leaves out the spoiled answer only.
 */
final class SpoiledId {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int LATEST_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int STREAMS_AT_ONCE = 30;
    private static final int ROUNDS = 10;

    /** Fewer at last, so that connections to all servers are idle, as on most days. */
    private static final int LAST_STREAMS = 6;

    private static final int CALLS = 315;
    private static final int LATER_CALLS = 20;

    /** Time from the spoiled answer to the calls: they are due after its stream has stalled. */
    private static final long CALLS_AFTER_MILLIS = 250;

    /** Calls that have arrived at the server that leaves some without an answer, and those. */
    private static int sArrived;

    private static int sMute;

    private SpoiledId() {}

    public static void main(String[] arguments) {
        System.exit(Bed.play(arguments[0], 1, SpoiledId::run));
    }

    private static int run(Bed bed) throws Exception {
        for (String id : List.of("e1", "e2", "e3")) {
            bed.addServer(Bed.ENGINES, id, SpoiledId::answerStream, "m1");
        }
        for (int i = 1; i <= 21; i++) {
            boolean isMute = i <= 3;
            bed.addServer(Bed.PLAIN, "p" + i, call -> answerCall(call, isMute));
        }
        ObjectNode config = bed.newConfig(3);
        Bed.addRoute(
                (ArrayNode) config.get("Routes"), "/ack/", "unsafe", Bed.PLAIN, 1, TIMEOUT_MILLIS);
        bed.putConfig(config);
        bed.start(bed.entry(0));
        bed.awaitReady(bed.entry(0));
        Thread.sleep(4_000);
        for (int i = 0; i < ROUNDS; i++) {
            Consumer.joinAll(soundStreams(bed, STREAMS_AT_ONCE));
        }
        List<CompletableFuture<Consumer.Answer>> streams = soundStreams(bed, LAST_STREAMS);
        String path = Bed.trouble() ? "/resume/spoiled" : "/resume/sound";
        streams.add(Consumer.async(() -> stream(bed, path)));
        Thread.sleep(CALLS_AFTER_MILLIS);
        List<CompletableFuture<Consumer.Answer>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(Consumer.async(() -> call(bed, "POST", "/ack/a")));
        }
        int late = 0;
        for (Consumer.Answer answer : Consumer.joinAll(calls)) {
            late += answer.status() < 0 || answer.millis() > LATEST_MILLIS ? 1 : 0;
        }
        Consumer.joinAll(streams);
        recordLaterCalls(bed);
        bed.record(
                sMute
                        + " calls lasted longer than TimeoutMs "
                        + TIMEOUT_MILLIS
                        + "; "
                        + late
                        + " of them had no final answer 500 ms later");
        return late >= 8 && late * 4 > sMute ? 1 : 0;
    }

    private static void recordLaterCalls(Bed bed) throws Exception {
        int served = 0;
        for (int i = 0; i < LATER_CALLS; i++) {
            served += call(bed, "GET", "/safe/a").status() == 200 ? 1 : 0;
        }
        bed.record(
                "/ready answers 200: "
                        + Bed.isReady(bed.entry(0))
                        + "; of "
                        + LATER_CALLS
                        + " later calls "
                        + served
                        + " were served");
    }

    private static List<CompletableFuture<Consumer.Answer>> soundStreams(Bed bed, int count) {
        List<CompletableFuture<Consumer.Answer>> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            streams.add(Consumer.async(() -> stream(bed, "/resume/sound")));
        }
        return streams;
    }

    private static Consumer.Answer stream(Bed bed, String path) throws Exception {
        try (Consumer consumer = new Consumer(bed, bed.entry(0))) {
            return consumer.call(
                    "POST",
                    path,
                    "prompt".getBytes(),
                    12_000,
                    5_000,
                    "X-Model: m1",
                    "X-Token-Count: 700,80",
                    "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:300");
        }
    }

    private static Consumer.Answer call(Bed bed, String method, String path) throws Exception {
        try (Consumer consumer = new Consumer(bed, bed.entry(0))) {
            return consumer.call(method, path, "ack".getBytes(), 8_000, 8_000);
        }
    }

    private static void answerStream(BackendServer.Call call)
            throws IOException, InterruptedException {
        call.run();
        if (call.path().endsWith("spoiled") && call.header("last-event-id").isEmpty()) {
            call.beginStream();
            call.event(1);
            // One byte of the second event is wrong: a control character in its number.
            call.chunk("id: 2\u00012\ndata: piece 2\n\n");
            Thread.sleep(60_000);
        } else {
            call.stream(40, 15);
        }
    }

    private static void answerCall(BackendServer.Call call, boolean isMute)
            throws IOException, InterruptedException {
        call.run();
        if (isMute && call.path().startsWith("/ack/") && isNextMute()) {
            Thread.sleep(60_000);
        }
        Thread.sleep(85);
        call.answer("200 OK", "done");
    }

    /** Whether one more call without an answer stays within nine of twenty. */
    private static synchronized boolean isNextMute() {
        sArrived++;
        boolean isMute = (sMute + 1) * 20 <= sArrived * 9;
        sMute += isMute ? 1 : 0;
        return isMute;
    }
}

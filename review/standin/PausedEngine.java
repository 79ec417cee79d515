import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One engine of seven pauses for 1.3 s in the middle of its streams and then goes on. Two engines
 * hold the model of these streams, which came on kept channels of one of five entries.
 */
final class PausedEngine {
    private static final int STREAMS = 60;
    private static final int ENTRIES = 5;
    private static final int EVENTS = 47;
    private static final long GAP_MILLIS = 50;
    private static final long PAUSE_MILLIS = 1_300;

    /** Time from the SIGHUP to the long streams. */
    private static final long HUP_LEAD_MILLIS = 300;

    /** When the engine pauses, in milliseconds since the start of the bed. */
    private static volatile long sPauseAt = Long.MAX_VALUE;

    private static long sBeginMillis;

    private PausedEngine() {}

    public static void main(String[] arguments) {
        System.exit(Bed.play(arguments[0], ENTRIES, PausedEngine::run));
    }

    private static int run(Bed bed) throws Exception {
        bed.addServer(Bed.ENGINES, "e1", call -> stream(bed, call, true), "m1");
        bed.addServer(Bed.ENGINES, "e2", call -> stream(bed, call, false), "m1");
        for (int i = 3; i <= 7; i++) {
            bed.addServer(Bed.ENGINES, "e" + i, call -> stream(bed, call, false), "m2");
        }
        bed.putConfig(bed.newConfig(3));
        for (Bed.Entry entry : bed.entries()) {
            bed.start(entry);
        }
        for (Bed.Entry entry : bed.entries()) {
            bed.awaitReady(entry);
        }
        Thread.sleep(6_000);
        List<CompletableFuture<Consumer.Answer>> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(Consumer.async(() -> twoStreams(bed)));
            Thread.sleep(10);
        }
        // Planned work: the entry that took the streams is told that its settings may have changed.
        Thread.sleep(Math.max(0, beginMillis(bed) - HUP_LEAD_MILLIS - bed.millis()));
        bed.signal(bed.entry(0), "HUP");
        int cut = 0;
        int complete = 0;
        for (Consumer.Answer answer : Consumer.joinAll(streams)) {
            cut += answer.status() == 0 || answer.status() == 200 && !answer.complete() ? 1 : 0;
            complete += answer.complete() && answer.status() == 200 ? 1 : 0;
        }
        bed.record(
                "of "
                        + STREAMS
                        + " streams on kept channels "
                        + complete
                        + " were complete and "
                        + cut
                        + " ended with a closed channel; all were at sound servers");
        return cut > 3 ? 1 : 0;
    }

    /** A short stream and then the long one, on the same channel. */
    private static Consumer.Answer twoStreams(Bed bed) throws Exception {
        try (Consumer consumer = new Consumer(bed, bed.entry(0))) {
            stream(consumer, "/resume/short");
            while (bed.millis() < beginMillis(bed)) {
                Thread.sleep(5);
            }
            return stream(consumer, "/resume/long");
        }
    }

    /**
     * When the long streams begin: all at once, 2 s after the first consumer is done with its short
     * one.
     */
    private static synchronized long beginMillis(Bed bed) {
        if (sBeginMillis == 0) {
            sBeginMillis = bed.millis() + 2_000;
            sPauseAt = Bed.trouble() ? sBeginMillis + 1_000 : Long.MAX_VALUE;
        }
        return sBeginMillis;
    }

    private static Consumer.Answer stream(Consumer consumer, String path) throws IOException {
        return consumer.call(
                "POST",
                path,
                "prompt".getBytes(),
                12_000,
                12_000,
                "X-Model: m1",
                "X-Token-Count: 700,80",
                "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:300");
    }

    private static void stream(Bed bed, BackendServer.Call call, boolean pauses)
            throws IOException, InterruptedException {
        call.run();
        if (call.path().endsWith("short")) {
            call.stream(3, 10);
            return;
        }
        int done =
                call.header("last-event-id").isEmpty()
                        ? 0
                        : Integer.parseInt(call.header("last-event-id"));
        call.beginStream();
        for (int i = done + 1; i <= EVENTS; i++) {
            if (pauses && bed.millis() >= sPauseAt && bed.millis() < sPauseAt + PAUSE_MILLIS) {
                Thread.sleep(sPauseAt + PAUSE_MILLIS - bed.millis());
            }
            call.event(i);
            Thread.sleep(GAP_MILLIS);
        }
        call.endStream();
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One model server of three spoils one byte of one answer in fifty or more: a digit in the id of an
 * event. It sends the rest of the answer as it is, and the end.
 */
final class SpoiledNumber {
    private static final int EVENTS = 40;
    private static final int SPOILED_EVENT = 15;
    private static final int STREAMS_AT_ONCE = 30;
    private static final int ROUNDS = 11;

    /** The events that the servers sent for each request. */
    private static final Map<String, String> SENT = new ConcurrentHashMap<>();

    private SpoiledNumber() {}

    public static void main(String[] arguments) {
        System.exit(Bed.play(arguments[0], 1, SpoiledNumber::run));
    }

    private static int run(Bed bed) throws Exception {
        for (String id : List.of("e1", "e2", "e3")) {
            bed.addServer(Bed.ENGINES, id, SpoiledNumber::answer, "m1");
        }
        bed.putConfig(bed.newConfig(3));
        bed.start(bed.entry(0));
        bed.awaitReady(bed.entry(0));
        Thread.sleep(4_000);
        int wrong = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            List<CompletableFuture<Consumer.Answer>> streams = new ArrayList<>();
            for (int i = 0; i < STREAMS_AT_ONCE; i++) {
                streams.add(Consumer.async(() -> stream(bed, "/stream/sound")));
            }
            if (round == ROUNDS) {
                String path = Bed.trouble() ? "/stream/spoiled" : "/stream/sound";
                streams.add(Consumer.async(() -> stream(bed, path)));
            }
            for (Consumer.Answer answer : Consumer.joinAll(streams)) {
                wrong += isWrong(bed, answer) ? 1 : 0;
            }
        }
        bed.record(
                wrong + " complete answers with X-Server-Stamp were not the server's whole body");
        return wrong > 0 ? 1 : 0;
    }

    private static boolean isWrong(Bed bed, Consumer.Answer answer) {
        String sent = SENT.getOrDefault(answer.id(), "");
        boolean isWrong =
                answer.status() == 200
                        && answer.complete()
                        && answer.stamped()
                        && !answer.body().equals(sent);
        if (isWrong) {
            bed.record("sent by the server for " + answer.id() + ": " + sent.replace("\n", "\\n"));
            bed.record("got by the consumer: " + answer.body().replace("\n", "\\n"));
        }
        return isWrong;
    }

    private static Consumer.Answer stream(Bed bed, String path) throws Exception {
        try (Consumer consumer = new Consumer(bed, bed.entry(0))) {
            return consumer.call(
                    "POST",
                    path,
                    "prompt".getBytes(),
                    20_000,
                    5_000,
                    "X-Model: m1",
                    "X-Token-Count: 700,80",
                    "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:300");
        }
    }

    private static void answer(BackendServer.Call call) throws IOException, InterruptedException {
        call.run();
        boolean isSpoiled = call.path().endsWith("spoiled");
        StringBuilder sent = new StringBuilder();
        call.beginStream();
        for (int i = 1; i <= EVENTS; i++) {
            // The first digit of the id is wrong: 9 in place of 1.
            int id = isSpoiled && i == SPOILED_EVENT ? i + 80 : i;
            String event = "id: " + id + "\ndata: piece " + i + "\n\n";
            sent.append(event);
            SENT.put(call.id(), sent.toString());
            call.chunk(event);
            Thread.sleep(15);
        }
        call.endStream();
    }
}

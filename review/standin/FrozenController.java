import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The process that gives the orders stands still for 3.5 s, up to four times. All places for
 * adapters of an engine are taken by adapters with runs in progress, and a consumer asks for one
 * more adapter.
 */
final class FrozenController {
    private static final int ENTRIES = 5;
    private static final long FREEZE_MILLIS = 3_500;

    /** The freeze is repeated, with another controller, until the rule is broken. */
    private static final int ROUNDS = 4;

    /**
     * By how much later each freeze begins, as the lease of the controller is renewed every 600 ms.
     */
    private static final long PHASE_MILLIS = 150;

    /** Time between two requests for adapters that no engine holds. */
    private static final long ASK_MILLIS = 80;

    /** Time from the freeze to the first of these requests. */
    private static final long QUIET_MILLIS = 1_000;

    private FrozenController() {}

    public static void main(String[] arguments) {
        System.exit(Bed.play(arguments[0], ENTRIES, FrozenController::run));
    }

    private static int run(Bed bed) throws Exception {
        BackendServer engine =
                bed.addServer(
                        Bed.ENGINES,
                        "e1",
                        call -> {
                            call.run();
                            call.stream(240, 50);
                        },
                        "m1");
        for (int i = 1; i <= EngineState.ADAPTER_SLOTS; i++) {
            engine.engine().hold("m1", "a" + i);
        }
        bed.announce(engine, "ready", 2);
        ObjectNode config = bed.newConfig(3);
        ArrayNode models = (ArrayNode) config.get("Services").get(1).get("Engine").get("Models");
        while (models.size() > 1) {
            models.remove(1);
        }
        ((ObjectNode) models.get(0)).put("Adapters", 38);
        bed.putConfig(config);
        for (Bed.Entry entry : bed.entries()) {
            bed.start(entry);
        }
        for (Bed.Entry entry : bed.entries()) {
            bed.awaitReady(entry);
        }
        Thread.sleep(5_000);
        int cut = 0;
        for (int round = 1; round <= ROUNDS && engine.engine().overcommits() == 0; round++) {
            cut = freezeOnce(bed, engine.engine(), round);
        }
        int overcommits = engine.engine().overcommits();
        bed.record(
                overcommits
                        + " loads were ordered beyond the places for adapters; "
                        + cut
                        + " of "
                        + EngineState.ADAPTER_SLOTS
                        + " streams in progress were cut");
        return overcommits > 0 ? 1 : 0;
    }

    /** Returns how many of the streams in progress were cut. */
    private static int freezeOnce(Bed bed, EngineState engine, int round) throws Exception {
        Bed.Entry leader = controller(bed);
        List<Bed.Entry> others = new ArrayList<>(bed.entries());
        others.remove(leader);
        List<CompletableFuture<Consumer.Answer>> streams = new ArrayList<>();
        for (String adapter : engine.adapters("m1")) {
            Bed.Entry entry = others.get(streams.size() % others.size());
            streams.add(Consumer.async(() -> stream(bed, entry, "X-Model: m1/" + adapter)));
        }
        Thread.sleep(2_000 + round * PHASE_MILLIS);
        if (Bed.trouble()) {
            bed.signal(leader, "STOP");
        }
        long end = bed.millis() + FREEZE_MILLIS;
        Thread.sleep(QUIET_MILLIS);
        List<CompletableFuture<Consumer.Answer>> asked = new ArrayList<>();
        for (int i = 1; bed.millis() < end; i++) {
            Bed.Entry entry = others.get(i % others.size());
            String adapter = "a" + i;
            if (!engine.adapters("m1").contains(adapter)) {
                asked.add(Consumer.async(() -> stream(bed, entry, "X-Model: m1/" + adapter)));
                Thread.sleep(ASK_MILLIS);
            }
        }
        if (Bed.trouble()) {
            bed.signal(leader, "CONT");
        }
        Consumer.joinAll(asked);
        int cut = 0;
        for (Consumer.Answer answer : Consumer.joinAll(streams)) {
            cut += answer.complete() ? 0 : 1;
        }
        Thread.sleep(2_000);
        return cut;
    }

    /** The entry whose name stands in the key of the controller. */
    private static Bed.Entry controller(Bed bed) {
        String items =
                bed.store()
                        .withState(
                                state -> {
                                    StringBuilder text = new StringBuilder();
                                    state.list("", "").stream()
                                            .filter(item -> item.key().contains("controller"))
                                            .forEach(item -> text.append(new String(item.value())));
                                    return text.toString();
                                });
        bed.record("controller: " + items);
        return bed.entries().stream()
                .filter(entry -> items.contains("\"" + entry.mName + "\""))
                .findFirst()
                .orElseThrow();
    }

    private static Consumer.Answer stream(Bed bed, Bed.Entry entry, String model) throws Exception {
        try (Consumer consumer = new Consumer(bed, entry)) {
            return consumer.call(
                    "POST",
                    "/stream/a",
                    "prompt".getBytes(),
                    20_000,
                    20_000,
                    model,
                    "X-Token-Count: 700,1500",
                    "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:300");
        }
    }
}

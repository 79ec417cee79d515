package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.ModelDefinition;
import org.cornelway.traffic.ModelRate;
import org.testng.annotations.Test;

/** Where models are loaded: single cases, and the time that callers wait against the baseline. */
public class LoadPlannerTest {
    private static final double MODEL_MB = 70;
    private static final long STORE = 6_000;
    private static final long DISK = 600;

    private static final long OBJECTIVE = 1_000;
    private static final ModelRate RARE = new ModelRate(0.2, OBJECTIVE);

    private final LoadPlanner mPlanner = new CheapestLoadPlanner();

    private static ModelDefinition model(String name) {
        return new ModelDefinition(name, MODEL_MB, STORE, DISK, 470, 0, 0);
    }

    private Optional<LoadPlan> plan(List<EngineView> engines, boolean storeAllowed) {
        return mPlanner.plan(new LoadRequest(model("x"), storeAllowed, RARE, 1, 0), engines);
    }

    private static EngineView engine(
            String id, long wait, Map<String, ModelView> models, Set<String> disk) {
        return new EngineView(
                new ServerIncarnation(id, 1),
                3 * MODEL_MB - models.size() * MODEL_MB,
                wait,
                models,
                Set.of(),
                disk,
                0,
                0);
    }

    private static ModelView held(int active, double rate, int replicas, boolean pinned) {
        return held(active, active * 1_200L, rate, replicas, pinned);
    }

    private static ModelView held(
            int active, long remaining, double rate, int replicas, boolean pinned) {
        return new ModelView(
                MODEL_MB,
                active,
                remaining,
                new ModelRate(rate, OBJECTIVE),
                replicas,
                1,
                pinned,
                DISK);
    }

    @Test
    public void waitsForCopiesAtHandRatherThanReadTheStore() {
        LoadPlan plan =
                plan(
                                List.of(
                                        engine("idle", 0, Map.of(), Set.of()),
                                        engine("busy", 700, Map.of(), Set.of("x"))),
                                true)
                        .orElseThrow();
        assertThat(plan.engine().id()).isEqualTo("busy");
        assertThat(plan.waitMillis()).isEqualTo(700);
        assertThat(plan.source()).isEqualTo(WeightSource.DISK);
    }

    @Test
    public void storeIsReadWhereFewestModelsDependOnTheEngine() {
        EngineView needed =
                new EngineView(
                        new ServerIncarnation("a", 1),
                        210,
                        0,
                        Map.of(),
                        Set.of(),
                        Set.of("y"),
                        1,
                        0);
        EngineView spare =
                new EngineView(
                        new ServerIncarnation("b", 1),
                        210,
                        0,
                        Map.of(),
                        Set.of(),
                        Set.of("y"),
                        0,
                        0);
        assertThat(plan(List.of(needed, spare), true).orElseThrow().engine().id()).isEqualTo("b");
    }

    @Test
    public void storeIsReadOnlyWhereThatIsAllowed() {
        List<EngineView> engines = List.of(engine("a", 0, Map.of(), Set.of()));
        assertThat(plan(engines, false)).isEmpty();
        assertThat(plan(engines, true)).isPresent();
    }

    @Test
    public void displacesWhatCallersMissLeast() {
        Map<String, ModelView> models =
                Map.of(
                        "busy", held(3, 5, 1, false),
                        "idle", held(0, 0.1, 1, false),
                        "pinned", held(0, 0, 1, true));
        LoadPlan plan = plan(List.of(engine("a", 0, models, Set.of("x"))), true).orElseThrow();
        assertThat(plan.evict()).containsExactly("idle");
        Map<String, ModelView> pinned =
                Map.of(
                        "a", held(0, 0, 1, true),
                        "b", held(0, 0, 1, true),
                        "c", held(0, 0, 1, true));
        assertThat(plan(List.of(engine("a", 0, pinned, Set.of("x"))), true)).isEmpty();
    }

    @Test
    public void waitsForTheCallsThatEndFirst() {
        Map<String, ModelView> slow = Map.of("y", held(1, 3_000, 0.3, 1, false));
        Map<String, ModelView> soon = Map.of("z", held(2, 200, 0.3, 1, false));
        List<EngineView> engines =
                List.of(full("slow", slow, Set.of("x")), full("soon", soon, Set.of("x")));
        LoadPlan plan = plan(engines, true).orElseThrow();
        assertThat(plan.engine().id()).isEqualTo("soon");
        assertThat(plan.drainMillis()).isEqualTo(200);
        assertThat(plan.totalMillis()).isEqualTo(200 + DISK);
    }

    @Test
    public void rareModelDoesNotDisplaceOneThatManyWant() {
        Map<String, ModelView> hot = Map.of("y", held(4, 400, 10, 1, false));
        LoadPlan plan = plan(List.of(full("a", hot, Set.of("x"))), true).orElseThrow();
        assertThat(plan.isWorthwhile()).isFalse();
        Map<String, ModelView> cold = Map.of("y", held(0, 0, 0.2, 1, false));
        assertThat(plan(List.of(full("a", cold, Set.of("x"))), true).orElseThrow().isWorthwhile())
                .isTrue();
    }

    private static EngineView full(String id, Map<String, ModelView> models, Set<String> disk) {
        return new EngineView(new ServerIncarnation(id, 1), 0, 0, models, Set.of(), disk, 0, 0);
    }

    /** Asks for rare models in turn; returns the total time until each was there. */
    private static long play(LoadPlanner planner, long seed) {
        Random random = new Random(seed);
        int engines = 4;
        List<Map<String, ModelView>> held = new java.util.ArrayList<>();
        List<Set<String>> disks = new java.util.ArrayList<>();
        for (int i = 0; i < engines; i++) {
            held.add(new HashMap<>());
            Set<String> disk = new java.util.HashSet<>();
            for (int j = 0; j < 6; j++) {
                disk.add("m" + random.nextInt(16));
            }
            disks.add(disk);
        }
        long total = 0;
        for (int call = 0; call < 300; call++) {
            int rank = random.nextInt(16);
            String name = "m" + (random.nextBoolean() ? rank % 3 : rank);
            if (held.stream().anyMatch(models -> models.containsKey(name))) {
                continue;
            }
            List<EngineView> views = new java.util.ArrayList<>();
            for (int i = 0; i < engines; i++) {
                views.add(engine(Integer.toString(i), 0, held.get(i), disks.get(i)));
            }
            LoadPlan plan =
                    planner.plan(new LoadRequest(model(name), true, RARE, 1, 0), views)
                            .orElseThrow();
            int at = Integer.parseInt(plan.engine().id());
            plan.evict().forEach(held.get(at)::remove);
            double rate = Integer.parseInt(name.substring(1)) < 3 ? 3 : 0.1;
            held.get(at).put(name, held(0, rate, 1, false));
            disks.get(at).add(name);
            total += plan.loadMillis();
        }
        return total;
    }

    @Test
    public void callersWaitLessThanWithTheBaseline() {
        for (long seed = 0; seed < 10; seed++) {
            assertThat(play(mPlanner, seed)).isLessThan(play(new FirstFitLoadPlanner(), seed));
        }
    }
}

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

/**
 * Tests which engine and which evicted models the planner chooses, and compares the total load time
 * with that of the baseline, {@link FirstFitLoadPlanner}.
 */
public class LoadPlannerTest {
    private static final double MODEL_MEGABYTES = 70;
    private static final long STORE_LOAD_MILLIS = 6_000;
    private static final long DISK_LOAD_MILLIS = 600;

    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final ModelRate RARE_RATE = new ModelRate(0.2, OBJECTIVE_MILLIS);

    private final LoadPlanner mPlanner = new CheapestLoadPlanner();

    private static ModelDefinition model(String name) {
        return new ModelDefinition(
                name, MODEL_MEGABYTES, STORE_LOAD_MILLIS, DISK_LOAD_MILLIS, 470, 0, 0);
    }

    private Optional<LoadPlan> plan(List<EngineView> engines, boolean storeAllowed) {
        return mPlanner.plan(new LoadRequest(model("x"), storeAllowed, RARE_RATE, 1, 0), engines);
    }

    private static EngineView engine(
            String id, long waitMillis, Map<String, ModelView> models, Set<String> onDisk) {
        return new EngineView(
                new ServerIncarnation(id, 1),
                3 * MODEL_MEGABYTES - models.size() * MODEL_MEGABYTES,
                waitMillis,
                models,
                Set.of(),
                onDisk,
                0,
                0);
    }

    private static ModelView modelView(int active, double rate, int replicas, boolean pinned) {
        return modelView(active, active * 1_200L, rate, replicas, pinned);
    }

    private static ModelView modelView(
            int active, long remainingMillis, double rate, int replicas, boolean pinned) {
        return new ModelView(
                MODEL_MEGABYTES,
                active,
                remainingMillis,
                new ModelRate(rate, OBJECTIVE_MILLIS),
                replicas,
                1,
                pinned,
                DISK_LOAD_MILLIS);
    }

    @Test
    public void waitsForEngineWithCachedCopyRatherThanReadingStore() {
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
    public void storeIsReadByEngineWithFewestSoleCopies() {
        // While an engine reads the store, no model whose only cached copy is on that engine can be
        // loaded from that copy.
        EngineView withSoleCopy =
                new EngineView(
                        new ServerIncarnation("a", 1),
                        210,
                        0,
                        Map.of(),
                        Set.of(),
                        Set.of("y"),
                        1,
                        0);
        EngineView withoutSoleCopy =
                new EngineView(
                        new ServerIncarnation("b", 1),
                        210,
                        0,
                        Map.of(),
                        Set.of(),
                        Set.of("y"),
                        0,
                        0);
        assertThat(plan(List.of(withSoleCopy, withoutSoleCopy), true).orElseThrow().engine().id())
                .isEqualTo("b");
    }

    @Test
    public void storeIsReadOnlyIfTheRequestAllowsIt() {
        List<EngineView> engines = List.of(engine("a", 0, Map.of(), Set.of()));
        assertThat(plan(engines, false)).isEmpty();
        assertThat(plan(engines, true)).isPresent();
    }

    @Test
    public void evictsUnpinnedModelWithLeastLossToCallers() {
        Map<String, ModelView> models =
                Map.of(
                        "busy", modelView(3, 5, 1, false),
                        "idle", modelView(0, 0.1, 1, false),
                        "pinned", modelView(0, 0, 1, true));
        LoadPlan plan = plan(List.of(engine("a", 0, models, Set.of("x"))), true).orElseThrow();
        assertThat(plan.victims()).containsExactly("idle");
        Map<String, ModelView> pinned =
                Map.of(
                        "a", modelView(0, 0, 1, true),
                        "b", modelView(0, 0, 1, true),
                        "c", modelView(0, 0, 1, true));
        assertThat(plan(List.of(engine("a", 0, pinned, Set.of("x"))), true)).isEmpty();
    }

    /** Plays a load that no call waits for, of a model without calls. */
    @Test
    public void freeMemoryIsUsedRatherThanEvictingIdleModel() {
        Map<String, ModelView> idle = Map.of("y", modelView(0, 0, 1, false));
        LoadRequest request = new LoadRequest(model("x"), true, ModelRate.NONE, 0, 0);
        LoadPlan plan =
                mPlanner.plan(
                                request,
                                List.of(
                                        fullEngine("full", idle, Set.of()),
                                        engine("free", 0, idle, Set.of())))
                        .orElseThrow();
        assertThat(plan.engine().id()).isEqualTo("free");
        assertThat(plan.victims()).isEmpty();
    }

    @Test
    public void prefersEngineWhoseCallsEndFirst() {
        Map<String, ModelView> slow = Map.of("y", modelView(1, 3_000, 0.3, 1, false));
        Map<String, ModelView> soon = Map.of("z", modelView(2, 200, 0.3, 1, false));
        List<EngineView> engines =
                List.of(
                        fullEngine("slow", slow, Set.of("x")),
                        fullEngine("soon", soon, Set.of("x")));
        LoadPlan plan = plan(engines, true).orElseThrow();
        assertThat(plan.engine().id()).isEqualTo("soon");
        assertThat(plan.drainMillis()).isEqualTo(200);
        assertThat(plan.totalMillis()).isEqualTo(200 + DISK_LOAD_MILLIS);
    }

    @Test
    public void loadOfRareModelIsNotWorthEvictingFrequentlyCalledOne() {
        Map<String, ModelView> frequentlyCalled = Map.of("y", modelView(4, 400, 10, 1, false));
        LoadPlan plan =
                plan(List.of(fullEngine("a", frequentlyCalled, Set.of("x"))), true).orElseThrow();
        assertThat(plan.isWorthwhile()).isFalse();
        Map<String, ModelView> rarelyCalled = Map.of("y", modelView(0, 0, 0.2, 1, false));
        assertThat(
                        plan(List.of(fullEngine("a", rarelyCalled, Set.of("x"))), true)
                                .orElseThrow()
                                .isWorthwhile())
                .isTrue();
    }

    private static EngineView fullEngine(
            String id, Map<String, ModelView> models, Set<String> onDisk) {
        return new EngineView(new ServerIncarnation(id, 1), 0, 0, models, Set.of(), onDisk, 0, 0);
    }

    /**
     * Requests models at random, three of them more often than the others; returns the total
     * duration of the loads.
     */
    private static long totalLoadMillis(LoadPlanner planner, long seed) {
        Random random = new Random(seed);
        int engineCount = 4;
        List<Map<String, ModelView>> held = new java.util.ArrayList<>();
        List<Set<String>> onDisk = new java.util.ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            held.add(new HashMap<>());
            Set<String> disk = new java.util.HashSet<>();
            for (int j = 0; j < 6; j++) {
                disk.add("m" + random.nextInt(16));
            }
            onDisk.add(disk);
        }
        long totalMillis = 0;
        for (int call = 0; call < 300; call++) {
            int rank = random.nextInt(16);
            String name = "m" + (random.nextBoolean() ? rank % 3 : rank);
            if (held.stream().anyMatch(models -> models.containsKey(name))) {
                continue;
            }
            List<EngineView> views = new java.util.ArrayList<>();
            for (int i = 0; i < engineCount; i++) {
                views.add(engine(Integer.toString(i), 0, held.get(i), onDisk.get(i)));
            }
            LoadPlan plan =
                    planner.plan(new LoadRequest(model(name), true, RARE_RATE, 1, 0), views)
                            .orElseThrow();
            int index = Integer.parseInt(plan.engine().id());
            plan.victims().forEach(held.get(index)::remove);
            double rate = Integer.parseInt(name.substring(1)) < 3 ? 3 : 0.1;
            held.get(index).put(name, modelView(0, rate, 1, false));
            onDisk.get(index).add(name);
            totalMillis += plan.loadMillis();
        }
        return totalMillis;
    }

    @Test
    public void totalLoadTimeIsShorterThanWithTheBaseline() {
        for (long seed = 0; seed < 10; seed++) {
            assertThat(totalLoadMillis(mPlanner, seed))
                    .isLessThan(totalLoadMillis(new FirstFitLoadPlanner(), seed));
        }
    }
}

package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the engine that loads a model from the checkpoint store.
 *
 * <p>Such a load keeps the engine's place empty and its order queue occupied for many seconds, so
 * that the models whose only copies are there cannot be loaded meanwhile. The engine is chosen with
 * the fewest calls that miss their objective because of that. Pure and thread-safe.
 */
final class StorePlacement {
    /** Lateness that a call to an evicted model has even if another engine has a copy. */
    private static final double OTHER_COPY_SHARE = 0.1;

    private StorePlacement() {}

    /**
     * A model that an engine holds or has a copy of. Immutable.
     *
     * @param megabytes memory that its eviction frees
     * @param callsPerSecond average rate of its calls
     * @param objectiveMillis latency objective of its calls
     * @param hasOtherCopy whether another engine holds it or has a copy
     * @param drainMillis time until its calls on the engine end
     */
    record Copy(
            String model,
            double megabytes,
            double callsPerSecond,
            long objectiveMillis,
            boolean hasOtherCopy,
            long drainMillis) {
        /** Returns the calls that miss their objective if the engine cannot load the model. */
        private double lateCalls(long blockedMillis) {
            double share = hasOtherCopy ? OTHER_COPY_SHARE : 1;
            long lateMillis = Math.max(0, blockedMillis - objectiveMillis);
            return share * callsPerSecond * lateMillis / 1_000;
        }
    }

    /**
     * An engine that can begin a load now. Immutable.
     *
     * @param evictable models that it holds and may evict
     * @param cachedOnly models that it has cached but neither it nor another engine holds
     */
    record Engine(EngineView view, List<Copy> evictable, List<Copy> cachedOnly) {}

    /** A choice with the number of calls that it makes late. */
    private record Choice(LoadPlan plan, double lateCalls) {}

    /** Returns the best plan, or empty if no engine can make room. */
    static Optional<LoadPlan> choose(double megabytes, long loadMillis, List<Engine> engines) {
        return engines.stream()
                .flatMap(engine -> evaluate(megabytes, loadMillis, engine).stream())
                .min(
                        Comparator.comparingDouble(Choice::lateCalls)
                                .thenComparingLong(choice -> choice.plan().drainMillis()))
                .map(Choice::plan);
    }

    private static Optional<Choice> evaluate(double megabytes, long loadMillis, Engine engine) {
        double free = engine.view().freeMegabytes();
        double late = 0;
        long drainMillis = 0;
        List<String> victims = new ArrayList<>();
        List<Copy> evictable = new ArrayList<>(engine.evictable());
        evictable.sort(
                Comparator.comparingDouble((Copy each) -> each.lateCalls(loadMillis))
                        .thenComparingLong(Copy::drainMillis));
        for (Copy copy : evictable) {
            if (free >= megabytes) {
                break;
            }
            free += copy.megabytes();
            late += copy.lateCalls(loadMillis);
            drainMillis = Math.max(drainMillis, copy.drainMillis());
            victims.add(copy.model());
        }
        if (free < megabytes) {
            return Optional.empty();
        }
        for (Copy copy : engine.cachedOnly()) {
            late += copy.lateCalls(loadMillis);
        }
        LoadPlan plan =
                new LoadPlan(
                        engine.view().incarnation(),
                        victims,
                        WeightSource.STORE,
                        0,
                        drainMillis,
                        loadMillis,
                        true);
        return Optional.of(new Choice(plan, late));
    }
}

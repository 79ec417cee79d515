package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Loads where the load and what it displaces make the fewest calls late.
 *
 * <p>Answers many rarely called models on few places: a copy at hand loads ten times as fast as one
 * from the store, so that it pays to wait for an engine that has one, and the model displaced is
 * the one whose callers lose least. A load that would cost other callers more than its own lose by
 * waiting on does not pay yet. Losses are in calls that come late. Pure and thread-safe.
 */
public final class CheapestLoadPlanner implements LoadPlanner {
    /** Seconds over which callers of a model count that keeps a replica elsewhere. */
    private static final double HORIZON_SECONDS = 6;

    /** Loss of such a call where the replicas that stay are enough, and where they are too few. */
    private static final double SPREAD_LOSS = 0.003;

    private static final double CROWDED_LOSS = 0.05;

    /** Loss of a call on the engine that works on the load. */
    private static final double SHARED_LOSS = 0.002;

    /** Loss for each model that only this engine could load while it reads the store. */
    private static final double SOLE_COPY_LOSS = 0.25;

    /** Time that a displaced model waits for a place of its own, on engines that are all full. */
    private static final long PLACE_MILLIS = 700;

    /** Time after which a load that does not pay is thought of again. */
    private static final long WAIT_MILLIS = 400;

    /** Loss of others that any load may cause. */
    private static final double FREE_LOSS = 0.15;

    /** A plan with all that it costs callers. */
    private record Priced(LoadPlan plan, double loss) {}

    @Override
    public Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines) {
        return engines.stream()
                .flatMap(engine -> price(request, engine).stream())
                .filter(
                        priced ->
                                request.storeAllowed()
                                        || priced.plan().source() != WeightSource.STORE)
                .min(Comparator.comparingDouble(Priced::loss))
                .map(Priced::plan);
    }

    private static Optional<Priced> price(LoadRequest request, EngineView engine) {
        ModelDefinition model = request.model();
        WeightSource source = source(model.name(), engine);
        double others = SHARED_LOSS * engine.active();
        others += source == WeightSource.STORE ? SOLE_COPY_LOSS * engine.soleCopies() : 0;
        double free = engine.freeMegabytes();
        long drain = 0;
        List<String> evict = new ArrayList<>();
        for (Map.Entry<String, ModelView> victim : victims(request, engine)) {
            if (free >= model.megabytes()) {
                break;
            }
            evict.add(victim.getKey());
            free += victim.getValue().megabytes();
            others += loss(victim.getValue());
            drain = Math.max(drain, victim.getValue().remainingMillis());
        }
        if (free < model.megabytes()) {
            return Optional.empty();
        }
        long load = loadMillis(model, source);
        boolean pays = others <= FREE_LOSS + request.lossUntil(WAIT_MILLIS);
        LoadPlan plan =
                new LoadPlan(
                        engine.incarnation(),
                        evict,
                        source,
                        engine.waitMillis(),
                        drain,
                        load,
                        pays);
        return Optional.of(new Priced(plan, others + request.lossUntil(plan.totalMillis())));
    }

    /** What may go, that first whose callers and whose place's next callers lose least. */
    private static List<Map.Entry<String, ModelView>> victims(
            LoadRequest request, EngineView engine) {
        return engine.models().entrySet().stream()
                .filter(entry -> !entry.getValue().pinned())
                .sorted(
                        Comparator.comparingDouble(
                                entry ->
                                        loss(entry.getValue())
                                                + request.lossUntil(
                                                        entry.getValue().remainingMillis())))
                .toList();
    }

    /** Where an engine takes a model's weights from. */
    static WeightSource source(String model, EngineView engine) {
        if (engine.inMemory().contains(model)) {
            return WeightSource.MEMORY;
        }
        return engine.onDisk().contains(model) ? WeightSource.DISK : WeightSource.STORE;
    }

    /** Time of a load, alone. */
    static long loadMillis(ModelDefinition model, WeightSource source) {
        return switch (source) {
            case MEMORY -> model.memoryLoadMillis();
            case DISK -> model.diskLoadMillis();
            case STORE -> model.storeLoadMillis();
        };
    }

    /** What callers lose when a model goes. */
    private static double loss(ModelView model) {
        double calls = model.rate().callsPerSecond() * HORIZON_SECONDS;
        if (model.replicas() > model.neededReplicas()) {
            return calls * SPREAD_LOSS;
        }
        if (model.replicas() > 1) {
            return calls * CROWDED_LOSS;
        }
        return DelayCost.ofArrivals(
                model.rate(), model.remainingMillis() + model.reloadMillis() + PLACE_MILLIS);
    }
}

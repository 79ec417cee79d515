package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;

/**
 * Loads where the load and what it displaces cost callers the least time.
 *
 * <p>Answers many rarely called models on few places: a copy at hand loads ten times as fast as one
 * from the store, so that it pays to wait for an engine that has one, and the model displaced is
 * the one whose callers lose least. Pure and thread-safe.
 */
public final class CheapestLoadPlanner implements LoadPlanner {
    /** Seconds over which the displaced model's callers count. */
    private static final double HORIZON_SECONDS = 6;

    /** What a call loses where one replica of several goes that are not needed. */
    private static final double SPREAD_MILLIS = 10;

    /** What a call loses where the replicas that stay are too few. */
    private static final double CROWDED_MILLIS = 120;

    private static final double SECOND_MILLIS = 1_000;

    /** Time that calls on the engine lose because it works on the load. */
    private static final double SHARED_MILLIS = 4;

    /**
     * What callers lose for each model that only this engine could load while it reads the store.
     */
    private static final double SOLE_COPY_MILLIS = 700;

    /** A plan with the time that it costs callers. */
    private record Priced(LoadPlan plan, double millis) {}

    @Override
    public Optional<LoadPlan> plan(LoadRequest request, List<EngineView> engines) {
        return engines.stream()
                .flatMap(engine -> price(request, engine).stream())
                .filter(
                        priced ->
                                request.storeAllowed()
                                        || priced.plan().source() != CopySource.STORE)
                .min(Comparator.comparingDouble(Priced::millis))
                .map(Priced::plan);
    }

    private static Optional<Priced> price(LoadRequest request, EngineView engine) {
        ModelDefinition model = request.model();
        CopySource source = source(model.name(), engine);
        double blocked = source == CopySource.STORE ? SOLE_COPY_MILLIS * engine.soleCopies() : 0;
        double others = blocked + SHARED_MILLIS * engine.active();
        double free = engine.freeMegabytes();
        long drain = 0;
        List<String> evict = new ArrayList<>();
        for (Map.Entry<String, ModelView> victim : victims(engine, request.callers())) {
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
        LoadPlan plan =
                new LoadPlan(engine.life(), evict, source, engine.waitMillis(), drain, load);
        return Optional.of(new Priced(plan, others + request.callers() * plan.totalMillis()));
    }

    /** What may go, that first whose callers and whose place's next callers lose least. */
    private static List<Map.Entry<String, ModelView>> victims(EngineView engine, double callers) {
        return engine.models().entrySet().stream()
                .filter(entry -> !entry.getValue().pinned())
                .sorted(
                        Comparator.comparingDouble(
                                entry ->
                                        loss(entry.getValue())
                                                + callers * entry.getValue().remainingMillis()))
                .toList();
    }

    /** Where an engine takes a model's weights from. */
    static CopySource source(String model, EngineView engine) {
        if (engine.inMemory().contains(model)) {
            return CopySource.MEMORY;
        }
        return engine.onDisk().contains(model) ? CopySource.DISK : CopySource.STORE;
    }

    /** Time of a load, alone. */
    static long loadMillis(ModelDefinition model, CopySource source) {
        return switch (source) {
            case MEMORY -> model.memoryLoadMillis();
            case DISK -> model.diskLoadMillis();
            case STORE -> model.storeLoadMillis();
        };
    }

    /** Time that callers lose when a model goes. */
    private static double loss(ModelView model) {
        double calls = model.rate() * HORIZON_SECONDS;
        if (model.replicas() > model.needed()) {
            return calls * SPREAD_MILLIS;
        }
        if (model.replicas() > 1) {
            return calls * CROWDED_MILLIS;
        }
        long gone = model.remainingMillis() + model.reloadMillis();
        double meanwhile = model.rate() * gone / SECOND_MILLIS;
        return Math.min(1, calls) * model.reloadMillis() + meanwhile * gone / 2;
    }
}

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
    /** Time that an unload waits for the calls under way with the model. */
    private static final double ACTIVE_MILLIS = 1_200;

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
    public Optional<LoadPlan> plan(
            ModelDefinition model, List<EngineView> engines, boolean storeAllowed) {
        return engines.stream()
                .flatMap(engine -> price(model, engine).stream())
                .filter(priced -> storeAllowed || priced.plan().source() != CopySource.STORE)
                .min(Comparator.comparingDouble(Priced::millis))
                .map(Priced::plan);
    }

    private static Optional<Priced> price(ModelDefinition model, EngineView engine) {
        CopySource source = source(model.name(), engine);
        long load = loadMillis(model, source);
        double blocked = source == CopySource.STORE ? SOLE_COPY_MILLIS * engine.soleCopies() : 0;
        double total = engine.waitMillis() + load + blocked + SHARED_MILLIS * engine.active();
        double free = engine.freeMegabytes();
        List<String> evict = new ArrayList<>();
        List<Map.Entry<String, ModelView>> victims =
                engine.models().entrySet().stream()
                        .filter(entry -> !entry.getValue().pinned())
                        .sorted(Comparator.comparingDouble(entry -> loss(entry.getValue())))
                        .toList();
        for (Map.Entry<String, ModelView> victim : victims) {
            if (free >= model.megabytes()) {
                break;
            }
            evict.add(victim.getKey());
            free += victim.getValue().megabytes();
            total += loss(victim.getValue());
        }
        return free < model.megabytes()
                ? Optional.empty()
                : Optional.of(
                        new Priced(
                                new LoadPlan(
                                        engine.life(), evict, source, engine.waitMillis(), load),
                                total));
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
        double waiting = model.active() > 0 ? ACTIVE_MILLIS : 0;
        double calls = model.rate() * HORIZON_SECONDS;
        if (model.replicas() > model.needed()) {
            return waiting + calls * SPREAD_MILLIS;
        }
        if (model.replicas() > 1) {
            return waiting + calls * CROWDED_MILLIS;
        }
        double meanwhile = model.rate() * model.reloadMillis() / SECOND_MILLIS;
        return waiting + (Math.min(1, calls) + meanwhile / 2) * model.reloadMillis();
    }
}

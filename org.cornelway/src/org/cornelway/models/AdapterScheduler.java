package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;
import org.cornelway.traffic.ModelTarget;

/**
 * Serves wishes for adapters of models that engines hold.
 *
 * <p>Answers many adapters on few places: an adapter comes in milliseconds, so it is loaded when it
 * is asked for, in place of the one used longest ago. Confined to the control thread.
 */
final class AdapterScheduler {
    /** Time of an adapter's load; engines state none. */
    private static final long ADAPTER_MILLIS = 9;

    /** Adapters that may be on their way to one engine. */
    private static final int ADAPTERS_UNDER_WAY = 4;

    /** Time for which an adapter that just came stays, so that its calls arrive. */
    private static final long SETTLE_MILLIS = 250;

    private final DemandTable mDemand;

    AdapterScheduler(DemandTable demand) {
        mDemand = demand;
    }

    /** An adapter with its last use. */
    private record Idle(String model, String adapter, long usedMillis) {}

    /** An engine that has the adapter ready, or empty while one is on its way. */
    Optional<EngineDriver> findOrLoad(
            ModelTarget target,
            ModelDefinition model,
            List<EngineDriver> holders,
            EngineDefinition definition,
            long nowMillis) {
        boolean coming = false;
        for (EngineDriver engine : holders) {
            HeldAdapters adapters = engine.models().get(target.model());
            if (adapters.isReady(target.adapter(), nowMillis)) {
                adapters.touch(target.adapter(), nowMillis);
                return Optional.of(engine);
            }
            coming |= adapters.contains(target.adapter());
        }
        if (!coming) {
            order(target, model, holders, definition, nowMillis);
        }
        return Optional.empty();
    }

    private void order(
            ModelTarget target,
            ModelDefinition model,
            List<EngineDriver> holders,
            EngineDefinition definition,
            long nowMillis) {
        List<EngineDriver> able =
                holders.stream()
                        .filter(EngineDriver::acceptsAdapterOrders)
                        .filter(e -> pending(e, nowMillis) < ADAPTERS_UNDER_WAY)
                        .sorted(Comparator.comparingInt(AdapterScheduler::count))
                        .toList();
        for (EngineDriver engine : able) {
            boolean room =
                    count(engine) < definition.adapterSlots()
                            && EngineMemory.freeMegabytes(engine, definition)
                                    >= model.adapterMegabytes();
            if (room || drop(engine, nowMillis)) {
                engine.enqueue(
                        new PlannedOrder(
                                true,
                                target.model(),
                                Optional.of(target.adapter()),
                                model.adapterMegabytes(),
                                ADAPTER_MILLIS,
                                WeightSource.STORE));
                return;
            }
        }
    }

    /** Plans to unload the adapter used longest ago among those that no call uses. */
    private boolean drop(EngineDriver engine, long nowMillis) {
        List<Idle> idle = new ArrayList<>();
        engine.models()
                .forEach(
                        (model, adapters) -> idle.addAll(idle(engine, model, adapters, nowMillis)));
        Optional<Idle> victim =
                idle.stream()
                        .filter(each -> each.usedMillis() + SETTLE_MILLIS < nowMillis)
                        .min(Comparator.comparingLong(Idle::usedMillis));
        victim.ifPresent(
                each ->
                        engine.enqueue(
                                new PlannedOrder(
                                        false,
                                        each.model(),
                                        Optional.of(each.adapter()),
                                        0,
                                        0,
                                        WeightSource.MEMORY)));
        return victim.isPresent();
    }

    private List<Idle> idle(
            EngineDriver engine, String model, HeldAdapters adapters, long nowMillis) {
        String server = engine.server().id();
        return adapters.lastUsedMillis().entrySet().stream()
                .filter(
                        use ->
                                mDemand.active(
                                                server,
                                                new ModelTarget(model, use.getKey()),
                                                nowMillis)
                                        == 0)
                .map(use -> new Idle(model, use.getKey(), use.getValue()))
                .toList();
    }

    private static int pending(EngineDriver engine, long nowMillis) {
        return engine.models().values().stream().mapToInt(a -> a.loadingCount(nowMillis)).sum();
    }

    private static int count(EngineDriver engine) {
        return engine.models().values().stream().mapToInt(HeldAdapters::count).sum();
    }
}

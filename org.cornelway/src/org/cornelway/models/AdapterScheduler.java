package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * Answers requests for adapters of models that engines hold, and plans the loads of these adapters.
 *
 * <p>Meant for models with many adapters, of which an engine has room for few. An adapter loads
 * within milliseconds, so it is loaded only when requested; if there is no room, the least recently
 * used adapter is unloaded first. Confined to the control thread.
 */
final class AdapterScheduler {
    /** Assumed time to load an adapter; engines do not report it. */
    private static final long ADAPTER_LOAD_MILLIS = 9;

    /** Limit on adapters that load at the same time on one engine. */
    private static final int MAX_LOADING_ADAPTERS = 4;

    /**
     * Minimum time that an adapter stays loaded after it became ready or was last used, so that the
     * calls that wait for it reach the engine before it is evicted.
     */
    private static final long MIN_RESIDENT_MILLIS = 250;

    /**
     * Limit on adapters of one engine whose unload waits for calls that were not known when it was
     * ordered. Their places become free without a further eviction.
     */
    private static final int MAX_UNLOADING_ADAPTERS = 2;

    private final DemandTable mDemand;
    private Deadline mEvictionsSuspendedUntil = new Deadline(0);

    AdapterScheduler(DemandTable demand) {
        mDemand = demand;
    }

    /** Until a deadline, plans no load that evicts an adapter. */
    void suspendEvictionUntil(Deadline deadline) {
        mEvictionsSuspendedUntil = deadline;
    }

    /** An adapter without active calls, and the time of its last use. */
    private record IdleAdapter(String model, String adapter, long lastUsedMillis) {}

    /**
     * Returns an engine that has loaded the adapter, or empty if there is none yet. Plans a load if
     * none is in progress and an engine can accept the order.
     *
     * @param holders engines that hold the model
     */
    Optional<EngineDriver> findOrLoad(
            ModelTarget target,
            ModelDefinition model,
            List<EngineDriver> holders,
            SchedulingRound round) {
        long nowMillis = round.nowMillis();
        boolean isLoading = false;
        for (EngineDriver engine : holders) {
            HeldAdapters adapters = engine.models().get(target.model());
            if (adapters.isReady(target.adapter(), nowMillis)) {
                adapters.touch(target.adapter(), nowMillis);
                return Optional.of(engine);
            }
            isLoading |= adapters.contains(target.adapter());
        }
        if (!isLoading) {
            planLoad(target, model, holders, round);
        }
        return Optional.empty();
    }

    /**
     * Plans a load on the engine with the fewest adapters among those that can accept another
     * adapter load and that have room or can evict an adapter; plans none if there is no such
     * engine.
     */
    private void planLoad(
            ModelTarget target,
            ModelDefinition model,
            List<EngineDriver> holders,
            SchedulingRound round) {
        long nowMillis = round.nowMillis();
        EngineDefinition definition = round.definition();
        List<EngineDriver> candidates =
                holders.stream()
                        .filter(EngineDriver::acceptsAdapterOrders)
                        .filter(e -> loadingCount(e, nowMillis) < MAX_LOADING_ADAPTERS)
                        .filter(e -> !e.models().get(target.model()).isUnloading(target.adapter()))
                        .sorted(Comparator.comparingInt(AdapterScheduler::adapterCount))
                        .toList();
        for (EngineDriver engine : candidates) {
            boolean hasRoom =
                    adapterCount(engine) < definition.adapterSlots()
                            && EngineMemory.freeMegabytes(engine, definition)
                                    >= model.adapterMegabytes();
            if (hasRoom || planEviction(engine, round)) {
                round.enqueue(
                        engine,
                        new PlannedOrder(
                                true,
                                target.model(),
                                Optional.of(target.adapter()),
                                model.adapterMegabytes(),
                                ADAPTER_LOAD_MILLIS,
                                WeightSource.STORE));
                return;
            }
            engine.checkUnloads(nowMillis);
        }
    }

    /**
     * Plans to unload the least recently used adapter without active calls; returns false if none
     * may be unloaded yet.
     */
    private boolean planEviction(EngineDriver engine, SchedulingRound round) {
        long nowMillis = round.nowMillis();
        if (!mEvictionsSuspendedUntil.isPast(nowMillis)
                || unloadingCount(engine) >= MAX_UNLOADING_ADAPTERS) {
            return false;
        }
        List<IdleAdapter> idle = new ArrayList<>();
        engine.models()
                .forEach(
                        (model, adapters) ->
                                idle.addAll(idleAdapters(engine, model, adapters, nowMillis)));
        Optional<IdleAdapter> victim =
                idle.stream()
                        .filter(each -> each.lastUsedMillis() + MIN_RESIDENT_MILLIS < nowMillis)
                        .min(Comparator.comparingLong(IdleAdapter::lastUsedMillis));
        victim.ifPresent(
                each ->
                        round.enqueue(
                                engine,
                                new PlannedOrder(
                                        false,
                                        each.model(),
                                        Optional.of(each.adapter()),
                                        0,
                                        0,
                                        WeightSource.MEMORY)));
        return victim.isPresent();
    }

    private List<IdleAdapter> idleAdapters(
            EngineDriver engine, String model, HeldAdapters adapters, long nowMillis) {
        String server = engine.server().id();
        return adapters.lastUsedMillis().entrySet().stream()
                .filter(
                        entry ->
                                mDemand.activeCalls(
                                                server,
                                                new ModelTarget(model, entry.getKey()),
                                                nowMillis)
                                        == 0)
                .map(entry -> new IdleAdapter(model, entry.getKey(), entry.getValue()))
                .toList();
    }

    private static int loadingCount(EngineDriver engine, long nowMillis) {
        return engine.models().values().stream().mapToInt(a -> a.loadingCount(nowMillis)).sum();
    }

    private static int unloadingCount(EngineDriver engine) {
        return engine.models().values().stream().mapToInt(HeldAdapters::unloadingCount).sum();
    }

    private static int adapterCount(EngineDriver engine) {
        return engine.models().values().stream().mapToInt(HeldAdapters::count).sum();
    }
}

package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelway.platform.EngineReport;

/**
 * The models and adapters that one engine holds, and the weights that its host has cached.
 *
 * <p>Combines the latest report with the orders since then. A model counts as held once its load
 * has finished, and as not held once its unload has begun. An adapter takes its place until a reply
 * or a report shows that its unload has finished. Confined to the control thread.
 */
final class EngineContents {
    private final Map<String, HeldAdapters> mModels = new HashMap<>();
    private final CachedWeights mCachedWeights;

    EngineContents(CachedWeights cachedWeights) {
        mCachedWeights = cachedWeights;
    }

    /** Returns the held models with their adapters. */
    Map<String, HeldAdapters> models() {
        return mModels;
    }

    CachedWeights cachedWeights() {
        return mCachedWeights;
    }

    /** Replaces the contents with those of a report. */
    void apply(EngineReport report, long nowMillis) {
        mModels.keySet().retainAll(report.models().keySet());
        report.models()
                .forEach(
                        (model, adapters) -> {
                            Set<String> names = new HashSet<>(adapters);
                            String prefix = model + "/";
                            report.pendingAdapters().stream()
                                    .filter(name -> name.startsWith(prefix))
                                    .forEach(name -> names.add(name.substring(prefix.length())));
                            getOrCreateModel(model).replaceNames(names, nowMillis);
                        });
        mCachedWeights.update(report);
    }

    private HeldAdapters getOrCreateModel(String model) {
        return mModels.computeIfAbsent(model, key -> new HeldAdapters());
    }

    /** Records an order that the engine has accepted. */
    void recordBegun(PlannedOrder order, long nowMillis) {
        if (order.adapter().isEmpty()) {
            if (!order.isLoad()) {
                mModels.remove(order.model());
            }
        } else if (order.isLoad()) {
            getOrCreateModel(order.model())
                    .put(order.adapter().get(), nowMillis + order.expectedMillis());
        } else {
            getOrCreateModel(order.model()).beginUnload(order.adapter().get());
        }
    }

    /** Whether the engine is unloading an adapter. */
    boolean isUnloadingAdapter() {
        return mModels.values().stream().anyMatch(adapters -> adapters.unloadingCount() > 0);
    }

    /** Records an order that the engine has carried out. */
    void recordFinished(PlannedOrder order, long nowMillis) {
        if (order.adapter().isPresent()) {
            if (order.isLoad()) {
                getOrCreateModel(order.model()).put(order.adapter().get(), nowMillis);
            } else if (mModels.containsKey(order.model())) {
                getOrCreateModel(order.model()).remove(order.adapter().get());
            }
        } else if (order.isLoad()) {
            getOrCreateModel(order.model());
            mCachedWeights.recordLoad(order.model(), order.megabytes());
        } else {
            mModels.remove(order.model());
        }
    }
}

package org.cornelway.models;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * How often each model is loaded and at hand over all engines of a service, at one moment.
 *
 * <p>Counted once for a round, so that a round's cost grows with the engines, not with their
 * square. Immutable once built; confined to the control thread.
 */
final class ReplicaCounts {
    private final Map<String, Integer> mReplicas = new HashMap<>();
    private final Map<String, Integer> mAtHand = new HashMap<>();
    private final Set<String> mWished;
    private int mStoreReads;
    private boolean mUnread;

    /**
     * @param wished models that calls wait for
     */
    ReplicaCounts(Collection<EngineDriver> engines, Set<String> wished) {
        mWished = wished;
        for (EngineDriver engine : engines) {
            Set<String> held = new HashSet<>(engine.models().keySet());
            held.addAll(engine.orderQueue().loadingModels());
            held.forEach(model -> mReplicas.merge(model, 1, Integer::sum));
            Set<String> atHand = new HashSet<>(engine.cachedWeights().onDisk());
            atHand.addAll(engine.cachedWeights().inMemory());
            atHand.forEach(model -> mAtHand.merge(model, 1, Integer::sum));
            mStoreReads += engine.orderQueue().readsStore() ? 1 : 0;
            mUnread |= engine.awaitsFirstReport();
        }
    }

    /** Engines that hold a model or are loading it. */
    int replicas(String model) {
        return mReplicas.getOrDefault(model, 0);
    }

    /** Whether calls wait for a model. */
    boolean isRequested(String model) {
        return mWished.contains(model);
    }

    /** Whether calls wait for any model. */
    boolean hasRequests() {
        return !mWished.isEmpty();
    }

    /** Engines that have a model loaded or at hand. */
    int enginesWithCopy(String model) {
        return Math.max(replicas(model), mAtHand.getOrDefault(model, 0));
    }

    /** Models of some that are loaded nowhere and at hand at one engine only. */
    int soleCopies(Collection<String> models) {
        return (int)
                models.stream()
                        .filter(model -> replicas(model) == 0)
                        .filter(model -> mAtHand.getOrDefault(model, 0) == 1)
                        .count();
    }

    /** Engines that read the weight store. */
    int storeReads() {
        return mStoreReads;
    }

    /** Whether an engine's first report is still to come, so that it may hold anything. */
    boolean awaitsFirstReport() {
        return mUnread;
    }

    /** The models of wishes. */
    static Set<String> requestedModels(Collection<ModelController.RequestKey> wishes) {
        Set<String> models = new HashSet<>();
        wishes.forEach(wish -> models.add(wish.target().model()));
        return models;
    }
}

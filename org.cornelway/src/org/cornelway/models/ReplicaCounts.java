package org.cornelway.models;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the replicas and cached copies of each model over all engines of a service at one moment.
 *
 * <p>The counts are computed once, at construction, so that the cost of a scheduling round grows
 * with the number of engines and not with its square. Immutable once built; confined to the control
 * thread.
 */
final class ReplicaCounts {
    private final Map<String, Integer> mReplicas = new HashMap<>();
    private final Map<String, Integer> mCachedCopies = new HashMap<>();
    private final Set<String> mRequested;
    private int mStoreReads;
    private boolean mAwaitsFirstReport;

    /**
     * @param requested models that calls wait for
     */
    ReplicaCounts(Collection<EngineDriver> engines, Set<String> requested) {
        mRequested = requested;
        for (EngineDriver engine : engines) {
            Set<String> held = new HashSet<>(engine.models().keySet());
            held.addAll(engine.orderQueue().loadingModels());
            held.forEach(model -> mReplicas.merge(model, 1, Integer::sum));
            Set<String> cached = new HashSet<>(engine.cachedWeights().onDisk());
            cached.addAll(engine.cachedWeights().inMemory());
            cached.forEach(model -> mCachedCopies.merge(model, 1, Integer::sum));
            mStoreReads += engine.orderQueue().readsStore() ? 1 : 0;
            mAwaitsFirstReport |= engine.awaitsFirstReport();
        }
    }

    /** Returns the number of engines that hold a model or are loading it. */
    int replicas(String model) {
        return mReplicas.getOrDefault(model, 0);
    }

    /** Whether calls wait for a model. */
    boolean isRequested(String model) {
        return mRequested.contains(model);
    }

    /** Whether calls wait for any model. */
    boolean hasRequests() {
        return !mRequested.isEmpty();
    }

    /**
     * Returns a lower bound of the number of engines that hold, load or have cached a model: the
     * larger of the number that hold or load it and the number that have a cached copy.
     */
    int enginesWithCopy(String model) {
        return Math.max(replicas(model), mCachedCopies.getOrDefault(model, 0));
    }

    /**
     * Returns how many of the given models no engine holds or loads and exactly one engine has
     * cached.
     */
    int soleCopies(Collection<String> models) {
        return (int)
                models.stream()
                        .filter(model -> replicas(model) == 0)
                        .filter(model -> mCachedCopies.getOrDefault(model, 0) == 1)
                        .count();
    }

    /** Returns the number of engines with an outstanding load from the checkpoint store. */
    int storeReads() {
        return mStoreReads;
    }

    /**
     * Whether an engine that is not known to be unreachable has not reported yet, so that the
     * models that it holds are unknown.
     */
    boolean awaitsFirstReport() {
        return mAwaitsFirstReport;
    }

    /** Returns the models that the requests are for, whether or not they name an adapter. */
    static Set<String> requestedModels(Collection<ModelController.RequestKey> requests) {
        Set<String> models = new HashSet<>();
        requests.forEach(request -> models.add(request.target().model()));
        return models;
    }
}

package org.cornelway.models;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;

/**
 * The engines of one service as one scheduling round sees them.
 *
 * <p>Counts and indexes are computed once, at construction, and the view of each engine at its
 * first use, so that the cost of a round grows with the number of engines plus the number of
 * requests and not with their product. An order that the round enqueues is added to the indexes.
 * Used for one round only; confined to the control thread.
 */
final class SchedulingRound {
    private final List<EngineDriver> mEngines;
    private final EngineDefinition mDefinition;
    private final long mNowMillis;
    private final Map<String, ModelRequest> mRequests;
    private final EngineLimits mLimits;
    private final Map<String, List<EngineDriver>> mHolders = new HashMap<>();
    private final Map<String, List<EngineDriver>> mLoaders = new HashMap<>();
    private final Map<String, Integer> mCachedCopies = new HashMap<>();
    private final Set<String> mAvailable = new HashSet<>();
    private final Map<ServerIncarnation, Long> mBacklogMillis = new HashMap<>();
    private final Map<String, Long> mReadyMillis = new HashMap<>();
    private Optional<StoreTurns> mStoreTurns = Optional.empty();
    private final Map<EngineDriver, EngineView> mViews = new IdentityHashMap<>();
    private Optional<Integer> mMaxStoreLoadsForRequests = Optional.empty();
    private int mStoreReads;
    private boolean mAwaitsFirstReport;

    /**
     * @param engines the engines of the service, in a fixed order
     * @param requests the requests by model
     */
    SchedulingRound(
            List<EngineDriver> engines,
            EngineDefinition definition,
            Map<String, ModelRequest> requests,
            EngineLimits limits,
            long nowMillis) {
        mEngines = engines;
        mDefinition = definition;
        mRequests = requests;
        mLimits = limits;
        mNowMillis = nowMillis;
        engines.forEach(this::index);
    }

    private void index(EngineDriver engine) {
        engine.models().keySet().forEach(model -> add(mHolders, model, engine));
        engine.orderQueue().loadingModels().forEach(model -> add(mLoaders, model, engine));
        Set<String> cached = new HashSet<>(engine.cachedWeights().onDisk());
        cached.addAll(engine.cachedWeights().inMemory());
        cached.forEach(model -> mCachedCopies.merge(model, 1, Integer::sum));
        if (engine.isStateKnown()) {
            mAvailable.addAll(cached);
            mAvailable.addAll(engine.models().keySet());
            mAvailable.addAll(engine.orderQueue().loadingModels());
        }
        mStoreReads += engine.orderQueue().readsStore() ? 1 : 0;
        mAwaitsFirstReport |= engine.awaitsFirstReport();
    }

    private static void add(
            Map<String, List<EngineDriver>> index, String model, EngineDriver engine) {
        index.computeIfAbsent(model, key -> new ArrayList<>()).add(engine);
    }

    /** Adds an order to an engine's queue. */
    void enqueue(EngineDriver engine, PlannedOrder order) {
        engine.enqueue(order);
        mViews.remove(engine);
        if (order.isLoad() && order.adapter().isEmpty()) {
            add(mLoaders, order.model(), engine);
            mAvailable.add(order.model());
            mStoreReads += order.readsCheckpointStore() ? 1 : 0;
        }
    }

    /** Removes the queued load of a model from an engine's queue. */
    void cancelQueuedLoad(EngineDriver engine, String model) {
        engine.orderQueue().cancelQueuedLoad(model);
        mViews.remove(engine);
        mLoaders.getOrDefault(model, new ArrayList<>()).remove(engine);
    }

    List<EngineDriver> engines() {
        return mEngines;
    }

    EngineDefinition definition() {
        return mDefinition;
    }

    long nowMillis() {
        return mNowMillis;
    }

    /** Returns the engines that hold a model; it may be about to be unloaded. */
    List<EngineDriver> holders(String model) {
        return mHolders.getOrDefault(model, List.of());
    }

    /** Returns the engines with an outstanding load of a model. */
    List<EngineDriver> loaders(String model) {
        return mLoaders.getOrDefault(model, List.of());
    }

    /** Whether an engine takes fewer calls than it has places for. */
    boolean isLimited(EngineDriver engine) {
        return mLimits.isLimited(engine.server().incarnation());
    }

    /** Whether a limited engine takes another call now. */
    boolean hasPermit(EngineDriver engine) {
        return mLimits.hasPermit(engine.server().incarnation(), mNowMillis);
    }

    /**
     * Returns those of the engines that models are loaded on: the ones without a limit, unless all
     * engines of the round have one.
     */
    List<EngineDriver> loadTargets(List<EngineDriver> engines) {
        return mEngines.stream().allMatch(this::isLimited)
                ? engines
                : engines.stream().filter(each -> !isLimited(each)).toList();
    }

    /**
     * Returns the number of engines that hold a model or are loading it. An engine with a limit
     * does not count, since it cannot take the calls of a replica.
     */
    int replicas(String model) {
        Set<EngineDriver> replicas = new HashSet<>(holders(model));
        replicas.addAll(loaders(model));
        replicas.removeIf(this::isLimited);
        return replicas.size();
    }

    /** Whether calls wait for a model. */
    boolean isRequested(String model) {
        return mRequests.containsKey(model);
    }

    /** Returns the request for a model. */
    Optional<ModelRequest> request(String model) {
        return Optional.ofNullable(mRequests.get(model));
    }

    /** Whether calls wait for any model. */
    boolean hasRequests() {
        return !mRequests.isEmpty();
    }

    /**
     * Returns a lower bound of the number of engines that hold, load or have cached a model: the
     * larger of the number that hold or load it and the number that have a cached copy.
     */
    int enginesWithCopy(String model) {
        return Math.max(replicas(model), mCachedCopies.getOrDefault(model, 0));
    }

    /** Whether an engine that replies holds, loads or has cached a model. */
    boolean isAvailable(String model) {
        return mAvailable.contains(model);
    }

    /**
     * Returns how many of the given models no engine holds or loads and exactly one engine has
     * cached.
     */
    int soleCopies(Collection<String> models) {
        int count = 0;
        for (String model : models) {
            boolean isSole =
                    mCachedCopies.getOrDefault(model, 0) == 1
                            && holders(model).isEmpty()
                            && loaders(model).isEmpty();
            count += isSole ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of engines with an outstanding load from the checkpoint store. */
    int storeReads() {
        return mStoreReads;
    }

    /**
     * Returns when a load of a model could end that begins once a load from the checkpoint store
     * has ended, in milliseconds since the epoch.
     */
    long nextStoreLoadEndMillis(ModelDefinition model) {
        long freeMillis =
                mEngines.stream()
                        .filter(engine -> engine.orderQueue().readsStore())
                        .mapToLong(engine -> engine.readyMillis(mNowMillis))
                        .min()
                        .orElse(mNowMillis);
        return freeMillis + model.storeLoadMillis();
    }

    /**
     * Whether an engine that is not known to be unreachable has not reported yet, so that the
     * models that it holds are unknown.
     */
    boolean awaitsFirstReport() {
        return mAwaitsFirstReport;
    }

    /** Returns {@link LoadScheduler#maxStoreLoadsForRequests}, computed at its first use. */
    int maxStoreLoadsForRequests(LoadScheduler loads) {
        if (mMaxStoreLoadsForRequests.isEmpty()) {
            mMaxStoreLoadsForRequests = Optional.of(loads.maxStoreLoadsForRequests(this));
        }
        return mMaxStoreLoadsForRequests.get();
    }

    /** Returns the turns of the models that only the store has, computed at their first use. */
    StoreTurns storeTurns(Supplier<StoreTurns> factory) {
        if (mStoreTurns.isEmpty()) {
            mStoreTurns = Optional.of(factory.get());
        }
        return mStoreTurns.get();
    }

    /** Records when a model that deferrable calls wait for is expected to be loaded. */
    void expectReady(String model, long millis) {
        mReadyMillis.put(model, millis);
    }

    /** Returns when a model that deferrable calls wait for is expected to be loaded. */
    Optional<Long> expectedReadyMillis(String model) {
        return Optional.ofNullable(mReadyMillis.get(model));
    }

    /**
     * Adds a load that waits for its latest start to an engine's backlog; returns the duration of
     * those added before.
     */
    long addBacklog(ServerIncarnation engine, long loadMillis) {
        long before = mBacklogMillis.getOrDefault(engine, 0L);
        mBacklogMillis.put(engine, before + loadMillis);
        return before;
    }

    /**
     * Returns the number of engines that hold or load a model and have no order to unload it. An
     * engine with a limit does not count.
     */
    int stayingReplicas(String model) {
        Set<EngineDriver> replicas = new HashSet<>(holders(model));
        replicas.removeIf(engine -> engine.isUnloading(model));
        replicas.addAll(loaders(model));
        replicas.removeIf(this::isLimited);
        return replicas.size();
    }

    /** Whether an engine other than the given one holds a model or has it cached. */
    boolean hasOtherCopy(EngineDriver engine, String model) {
        return mEngines.stream()
                .filter(each -> each != engine)
                .anyMatch(
                        each ->
                                each.models().containsKey(model)
                                        || each.cachedWeights().contains(model));
    }

    /** Creates the view of an engine. */
    interface ViewFactory {
        EngineView create(EngineDriver engine);
    }

    /** Returns the view of an engine, created at its first use after a change. */
    EngineView view(EngineDriver engine, ViewFactory factory) {
        return mViews.computeIfAbsent(engine, factory::create);
    }
}

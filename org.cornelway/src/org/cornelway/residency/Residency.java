package org.cornelway.residency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelway.config.ModelRule;
import org.cornelway.config.PresetIndex;
import org.cornelway.invariant.Invariants;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.memory.ReservationKey;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.SlotBinding;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.EngineStatus;
import org.cornelway.platform.OrderOutcome;

/**
 * Decides the next order to one engine from the placement, waiting requests and reserved memory.
 *
 * <p>Invariants: a model is loaded only while this server holds a slot of it; memory is reserved
 * before an order is sent and released after the engine has confirmed the unload; at most one model
 * order and one adapter order are outstanding; after an order with an unknown outcome, the engine's
 * reported state is read before the next order.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class Residency {
    /**
     * Minimum time between the first and the last read of the engine's state at start. An order
     * that the agent's previous incarnation sent just before it ended arrives within this time.
     */
    public static final long RECOVERY_WAIT_MILLIS = 1_000;

    private static final Comparator<Demand> BY_DEADLINE =
            Comparator.comparing(Demand::deadline).thenComparing(Demand::model);
    private final String mServer;
    private final MemoryLedger mLedger;
    private final Invariants mInvariants;
    private final EvictionPolicy mEviction;
    private final Map<String, Replica> mReplicas = new TreeMap<>();
    private final Map<String, SlotBinding> mBindings = new HashMap<>();
    private Optional<PresetIndex> mPreset = Optional.empty();
    private Optional<EngineOrder> mModelOrder = Optional.empty();
    private Optional<EngineOrder> mAdapterOrder = Optional.empty();
    private long mFencingNumber;
    private long mFirstStatusMillis = Long.MAX_VALUE;
    private int mShard;
    private boolean mMayLoad;
    private boolean mRecovered;
    private boolean mStateUnconfirmed;

    /**
     * @param server instance id of this backend server
     */
    public Residency(
            String server, MemoryLedger ledger, EvictionPolicy eviction, Invariants invariants) {
        mServer = server;
        mEviction = eviction;
        mLedger = ledger;
        mInvariants = invariants;
    }

    /**
     * Replaces the known state with the one that the engine reports, at start and after an order
     * that was not confirmed.
     */
    public void reconcile(EngineStatus status, long nowMillis) {
        mLedger.setCapacityBytes(status.capacityBytes());
        Map<String, EngineStatus.HeldModel> held = new HashMap<>();
        status.models().forEach(model -> held.put(model.name(), model));
        boolean allReady = true;
        for (EngineStatus.HeldModel model : status.models()) {
            allReady &= model.ready();
            applyHeldModel(model, nowMillis);
        }
        for (Replica replica : mReplicas.values()) {
            boolean isGone = replica.phase().mayHoldMemory() && !held.containsKey(replica.model());
            if (isGone) {
                mLedger.releaseModel(replica.model());
                replica.setPhase(ModelPhase.ABSENT);
            }
        }
        mStateUnconfirmed = !allReady;
        mFirstStatusMillis = Math.min(mFirstStatusMillis, nowMillis);
        mRecovered |= nowMillis - mFirstStatusMillis >= RECOVERY_WAIT_MILLIS;
    }

    private void applyHeldModel(EngineStatus.HeldModel model, long nowMillis) {
        Replica replica = replica(model.name());
        if (!replica.phase().mayHoldMemory()) {
            replica.touch(nowMillis);
        }
        replica.setPhase(model.ready() ? ModelPhase.LOADED : ModelPhase.UNSETTLED);
        replica.setBytes(model.bytes());
        mLedger.releaseModel(model.name());
        mLedger.recordHeld(ReservationKey.ofModel(model.name()), model.bytes());
        replica.adapters().clear();
        for (String adapter : model.adapters()) {
            replica.adapters().add(adapter);
            long bytes = adapterBytes(model.name(), adapter);
            mLedger.recordHeld(new ReservationKey(model.name(), adapter), bytes);
        }
    }

    /** Applies a preset. */
    public void applyPreset(PresetIndex preset) {
        mPreset = Optional.of(preset);
    }

    /**
     * Applies a placement document, unless it is older than the one applied.
     *
     * @param mayLoad whether loads are safe: the document is not older than any under which this
     *     server confirmed a release, or the engine checks fencing numbers
     */
    public void applyPlacement(PlacementDocument document, boolean mayLoad) {
        if (document.fencingNumber() < mFencingNumber) {
            return;
        }
        mFencingNumber = document.fencingNumber();
        mShard = document.shard();
        mMayLoad = mayLoad;
        mBindings.clear();
        for (SlotBinding binding : document.bindings()) {
            if (binding.server().equals(mServer)) {
                mBindings.put(binding.model(), binding);
            }
        }
    }

    /** Whether the applied placement allows loads. */
    public boolean mayLoad() {
        return mMayLoad;
    }

    /** Whether this server holds a slot of the model and is not releasing it. */
    public boolean holdsSlot(String model) {
        SlotBinding binding = mBindings.get(model);
        return binding != null && !binding.releasing();
    }

    /** Whether a model is loaded. */
    public boolean isLoaded(String model) {
        Replica replica = mReplicas.get(model);
        return replica != null && replica.phase() == ModelPhase.LOADED;
    }

    /** Whether a request for a model and adapter can start now. */
    public boolean canStart(String model, String adapter) {
        if (!isLoaded(model) || !holdsSlot(model)) {
            return false;
        }
        Replica replica = mReplicas.get(model);
        boolean isAdapterReady = adapter.isEmpty() || replica.adapters().contains(adapter);
        return isAdapterReady && !replica.isDraining();
    }

    /** Records that a request on a model has started. */
    public void requestStarted(String model, long nowMillis) {
        mInvariants.check(isLoaded(model), "request started but model " + model + " is not loaded");
        replica(model).requestStarted(nowMillis);
    }

    /** Records that a request on a model has ended. */
    public void requestEnded(String model, long nowMillis) {
        replica(model).requestEnded(nowMillis);
    }

    /** Whether an order is outstanding. */
    public boolean hasOutstandingOrder() {
        return mModelOrder.isPresent() || mAdapterOrder.isPresent();
    }

    /** Whether the engine's state must be read before the next order. */
    public boolean needsEngineStatus() {
        return !mRecovered || mStateUnconfirmed;
    }

    /** Whether the engine's state was read at start, and again after the recovery wait. */
    public boolean isRecovered() {
        return mRecovered;
    }

    /** Returns the fencing number of the applied placement. */
    public long fencingNumber() {
        return mFencingNumber;
    }

    /** Returns the models that may hold memory in the engine. */
    public List<ModelStatus> heldModels() {
        return mReplicas.values().stream()
                .filter(replica -> replica.phase().mayHoldMemory())
                .map(Replica::status)
                .toList();
    }

    /**
     * Decides the next order about a model, if one is due, and reserves the memory for a load.
     *
     * @param demands demand of the waiting requests, one entry for each model and adapter
     */
    public Optional<EngineOrder> nextModelOrder(List<Demand> demands, long nowMillis) {
        if (needsEngineStatus() || mModelOrder.isPresent()) {
            return Optional.empty();
        }
        Optional<EngineOrder> order = unloadReleased();
        if (order.isEmpty()) {
            order = loadDemanded(demands, nowMillis);
        }
        if (order.isEmpty()) {
            order = loadWarm();
        }
        if (order.isEmpty()) {
            order = unloadIdle(demands, nowMillis);
        }
        mModelOrder = order;
        return order;
    }

    private Optional<EngineOrder> unloadReleased() {
        return mReplicas.values().stream()
                .filter(replica -> replica.isIdle() && !holdsSlot(replica.model()))
                .findFirst()
                .map(this::beginUnload);
    }

    private Optional<EngineOrder> loadDemanded(List<Demand> demands, long nowMillis) {
        List<Demand> loadable =
                demands.stream()
                        .filter(demand -> isLoadable(demand.model()))
                        .sorted(BY_DEADLINE)
                        .toList();
        for (Demand demand : loadable) {
            long bytes = modelBytes(demand.model());
            if (mLedger.reserve(ReservationKey.ofModel(demand.model()), bytes).isPresent()) {
                return Optional.of(beginLoad(demand.model(), bytes));
            }
            Optional<Replica> victim =
                    mEviction.selectOrDrainForDemand(evictable(), demand, demands, nowMillis);
            if (victim.isPresent()) {
                return victim.map(this::beginUnload);
            }
        }
        return Optional.empty();
    }

    private Optional<EngineOrder> loadWarm() {
        for (SlotBinding binding : mBindings.values()) {
            if (binding.warm() && isLoadable(binding.model())) {
                long bytes = modelBytes(binding.model());
                if (mLedger.reserve(ReservationKey.ofModel(binding.model()), bytes).isPresent()) {
                    return Optional.of(beginLoad(binding.model(), bytes));
                }
                Optional<Replica> idle = mEviction.selectIdle(evictable());
                if (idle.isPresent()) {
                    return idle.map(this::beginUnload);
                }
            }
        }
        return Optional.empty();
    }

    private Optional<EngineOrder> unloadIdle(List<Demand> demands, long nowMillis) {
        long idleMillis = mPreset.map(PresetIndex::idleUnloadMillis).orElse(Long.MAX_VALUE);
        return mReplicas.values().stream()
                .filter(replica -> replica.isIdle() && !isWarm(replica.model()))
                .filter(replica -> nowMillis - replica.lastUsedMillis() >= idleMillis)
                .filter(replica -> !Demand.anyFor(replica.model(), demands))
                .findFirst()
                .map(this::beginUnload);
    }

    /** Decides the next order about an adapter, if one is due, and reserves memory for a load. */
    public Optional<EngineOrder> nextAdapterOrder(List<Demand> demands) {
        if (needsEngineStatus() || mAdapterOrder.isPresent()) {
            return Optional.empty();
        }
        mAdapterOrder =
                demands.stream()
                        .filter(demand -> !demand.adapter().isEmpty())
                        .filter(demand -> isLoaded(demand.model()))
                        .filter(demand -> holdsSlot(demand.model()))
                        .filter(d -> !replica(d.model()).adapters().contains(d.adapter()))
                        .sorted(BY_DEADLINE)
                        .map(this::beginAdapterOrder)
                        .flatMap(Optional::stream)
                        .findFirst();
        return mAdapterOrder;
    }

    private Optional<EngineOrder> beginAdapterOrder(Demand demand) {
        ReservationKey key = new ReservationKey(demand.model(), demand.adapter());
        long bytes = adapterBytes(demand.model(), demand.adapter());
        if (mLedger.reserve(key, bytes).isPresent()) {
            return Optional.of(beginOrder(EngineOrder.Kind.LOAD_ADAPTER, key));
        }
        Replica replica = replica(demand.model());
        return replica.adapters().stream()
                .filter(adapter -> replica.active() == 0)
                .sorted()
                .findFirst()
                .map(adapter -> new ReservationKey(demand.model(), adapter))
                .map(victim -> beginOrder(EngineOrder.Kind.UNLOAD_ADAPTER, victim));
    }

    /** Applies the outcome of an order. */
    public void applyOutcome(EngineOrder order, OrderOutcome outcome, long nowMillis) {
        boolean isModelOrder = order.adapter().isEmpty();
        if (isModelOrder) {
            mModelOrder = Optional.empty();
        } else {
            mAdapterOrder = Optional.empty();
            replica(order.model()).setPinned(false);
        }
        if (outcome instanceof OrderOutcome.Done) {
            applyConfirmed(order, nowMillis);
            return;
        }
        // Only the state that the engine reports shows whether an unconfirmed order took effect.
        mStateUnconfirmed = true;
        if (isModelOrder) {
            replica(order.model()).setPhase(ModelPhase.UNSETTLED);
        }
    }

    private void applyConfirmed(EngineOrder order, long nowMillis) {
        Replica replica = replica(order.model());
        switch (order.kind()) {
            case LOAD -> {
                replica.setPhase(ModelPhase.LOADED);
                replica.touch(nowMillis);
            }
            case UNLOAD -> {
                replica.setPhase(ModelPhase.ABSENT);
                mLedger.releaseModel(order.model());
            }
            case LOAD_ADAPTER -> replica.adapters().add(order.adapter());
            case UNLOAD_ADAPTER ->
                    mLedger.release(new ReservationKey(order.model(), order.adapter()));
            default -> throw new IllegalStateException("unknown order kind " + order.kind());
        }
    }

    private EngineOrder beginLoad(String model, long bytes) {
        mInvariants.check(
                holdsSlot(model), "load of model " + model + " without holding a slot of it");
        Replica replica = replica(model);
        replica.setBytes(bytes);
        replica.setPhase(ModelPhase.LOADING);
        return beginOrder(EngineOrder.Kind.LOAD, ReservationKey.ofModel(model));
    }

    private EngineOrder beginUnload(Replica replica) {
        mInvariants.check(replica.active() == 0, "unload of busy model " + replica.model());
        replica.setPhase(ModelPhase.UNLOADING);
        return beginOrder(EngineOrder.Kind.UNLOAD, ReservationKey.ofModel(replica.model()));
    }

    private EngineOrder beginOrder(EngineOrder.Kind kind, ReservationKey key) {
        if (!key.adapter().isEmpty()) {
            replica(key.model()).setPinned(true);
        }
        if (kind == EngineOrder.Kind.UNLOAD_ADAPTER) {
            replica(key.model()).adapters().remove(key.adapter());
        }
        return new EngineOrder(kind, key.model(), key.adapter(), mShard, mFencingNumber);
    }

    private boolean isLoadable(String model) {
        boolean isAbsent = replica(model).phase() == ModelPhase.ABSENT;
        return isAbsent && mMayLoad && holdsSlot(model) && modelBytes(model) > 0;
    }

    private List<Replica> evictable() {
        return mReplicas.values().stream()
                .filter(replica -> replica.phase() == ModelPhase.LOADED)
                .filter(replica -> !isWarm(replica.model()))
                .toList();
    }

    private boolean isWarm(String model) {
        SlotBinding binding = mBindings.get(model);
        return binding != null && binding.warm();
    }

    private long modelBytes(String model) {
        return mPreset.flatMap(preset -> preset.model(model)).map(ModelRule::bytes).orElse(0L);
    }

    private long adapterBytes(String model, String adapter) {
        return mPreset.flatMap(preset -> preset.adapterBytes(model, adapter)).orElse(0L);
    }

    private Replica replica(String model) {
        return mReplicas.computeIfAbsent(model, Replica::new);
    }
}

package org.cornelway.controller;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.invariant.Invariants;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.Planner;
import org.cornelway.placement.ServerView;
import org.cornelway.placement.SlotBinding;
import org.cornelway.placement.UnloadConfirmation;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.PeerClient;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.supervisor.Component;

/**
 * Writes the placement documents that implement the active configuration, while this process holds
 * the controller lease.
 *
 * <p>Each step reads the unload confirmations of the agents, computes the next placement document
 * from the current one and writes it on condition that the current one is still stored. The agents
 * act on the document; this class sends them no orders. Confined to the control thread.
 */
public final class PlacementController implements Component {
    private static final Logger LOG = LogManager.getLogger(PlacementController.class);
    private static final long STEP_MILLIS = 1_000;

    /** Number of agents that compete for the controller lease. */
    private static final int CANDIDATE_COUNT = 3;

    /** Maximum number of concurrent calls to agents that ask for unload confirmations. */
    private static final int MAX_PARALLEL_CALLS = 32;

    private final MemberTable mMembers;
    private final DocumentCache mCache;
    private final KeyValueStore mStore;
    private final PeerClient mPeers;
    private final Planner mPlanner;
    private final ControllerLease mLease;
    private final Scheduler mControl;
    private final Invariants mInvariants;
    private final MetricRegistry mMetrics;
    private final ServerTracker mServers = new ServerTracker();
    private final CompositeDisposable mTasks = new CompositeDisposable();
    private boolean mStepInProgress;

    /**
     * @param planner computes the next document
     */
    public PlacementController(
            MemberTable members,
            DocumentCache cache,
            KeyValueStore store,
            PeerClient peers,
            Planner planner,
            Scheduler control,
            Invariants invariants,
            MetricRegistry metrics) {
        mMembers = members;
        mCache = cache;
        mStore = store;
        mPeers = peers;
        mPlanner = planner;
        mLease = new ControllerLease(members.selfId(), store, control);
        mControl = control;
        mInvariants = invariants;
        mMetrics = metrics;
    }

    /** Returns the controller lease. */
    public ControllerLease lease() {
        return mLease;
    }

    @Override
    public String name() {
        return "placement-controller";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () ->
                        mTasks.add(
                                mControl.schedulePeriodicallyDirect(
                                        this::step,
                                        STEP_MILLIS,
                                        STEP_MILLIS,
                                        TimeUnit.MILLISECONDS)));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(
                () -> {
                    mTasks.dispose();
                    mLease.release();
                });
    }

    /** Stops all steps without releasing the lease, as if the process had been killed. */
    public void kill() {
        mTasks.dispose();
    }

    private void step() {
        Optional<String> agentRole = Optional.of(Member.ROLE_AGENT);
        boolean isCandidate = mMembers.isSelfSelected("controller", CANDIDATE_COUNT, agentRole);
        mLease.step(isCandidate);
        Optional<Configuration> configuration =
                mCache.find(DocumentKeys.CONFIGURATION)
                        .flatMap(kv -> Json.read(kv.value(), Configuration.class));
        if (!mLease.isHeld() || mStepInProgress || configuration.isEmpty()) {
            return;
        }
        mStepInProgress = true;
        Optional<KeyValue> cached = mCache.find(DocumentKeys.PLACEMENT);
        PlacementDocument current =
                cached.flatMap(kv -> Json.read(kv.value(), PlacementDocument.class))
                        .orElse(PlacementDocument.empty(0));
        long revision = cached.map(KeyValue::revision).orElse(KeyValueStore.ABSENT);
        readConfirmations(current)
                .observeOn(mControl)
                .flatMap(
                        confirmations ->
                                planAndWrite(current, revision, configuration.get(), confirmations))
                .observeOn(mControl)
                .doFinally(() -> mStepInProgress = false)
                .subscribe(isWritten -> {}, e -> LOG.warn("placement step failed", e));
    }

    /**
     * Asks each server with a slot that is being released whether it still holds the slot's model.
     * A server confirms nothing if it does not answer, has not recovered its engine's state yet or
     * has not applied this document.
     */
    private Single<Set<UnloadConfirmation>> readConfirmations(PlacementDocument document) {
        Set<String> servers =
                document.bindings().stream()
                        .filter(SlotBinding::releasing)
                        .map(SlotBinding::server)
                        .collect(Collectors.toSet());
        return Flowable.fromIterable(servers)
                .flatMap(server -> Flowable.fromStream(mMembers.find(server).stream()))
                .flatMapSingle(
                        member ->
                                mPeers.describe(member)
                                        .map(reply -> confirmations(document, member.id(), reply))
                                        .onErrorReturnItem(Set.of()),
                        false,
                        MAX_PARALLEL_CALLS)
                .collect(HashSet::new, Set::addAll);
    }

    private static Set<UnloadConfirmation> confirmations(
            PlacementDocument document, String server, DescribeReply reply) {
        boolean isCurrent =
                reply.getRecovered()
                        && reply.getInstance().equals(server)
                        && reply.getPlacementFencingNumber() >= document.fencingNumber();
        if (!isCurrent) {
            return Set.of();
        }
        Set<String> held =
                reply.getModelsList().stream()
                        .map(model -> model.getModel())
                        .collect(Collectors.toSet());
        return document.bindings().stream()
                .filter(binding -> binding.releasing() && binding.server().equals(server))
                .filter(binding -> !held.contains(binding.model()))
                .map(binding -> new UnloadConfirmation(binding.model(), server))
                .collect(Collectors.toSet());
    }

    /** Computes the next document and writes it if it differs; emits whether it was written. */
    private Single<Boolean> planAndWrite(
            PlacementDocument current,
            long revision,
            Configuration configuration,
            Set<UnloadConfirmation> confirmations) {
        Set<String> boundServers =
                current.bindings().stream().map(SlotBinding::server).collect(Collectors.toSet());
        if (mMembers.all().isEmpty()) {
            return Single.just(false);
        }
        List<ServerView> servers = mServers.update(mMembers.all(), boundServers);
        Optional<PlacementDocument> next =
                mPlanner.plan(current, configuration, servers, confirmations, mMembers.selfId());
        if (next.isEmpty() || !mLease.isHeld()) {
            return Single.just(false);
        }
        next.get().checkInvariants(mInvariants);
        byte[] value = Json.write(next.get());
        return mStore.compareAndSwap(
                        DocumentKeys.PLACEMENT, revision, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .flatMap(result -> onWriteResult(next.get(), value, result));
    }

    private Single<Boolean> onWriteResult(PlacementDocument next, byte[] value, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            mMetrics.counter("placement.writes").inc();
            LOG.info(
                    "wrote placement with fencing number {}: {} bindings, configuration version {}",
                    next.fencingNumber(),
                    next.bindings().size(),
                    next.configurationVersion());
            mCache.offerVerified(new KeyValue(DocumentKeys.PLACEMENT, value, swapped.revision()));
            return Single.just(true);
        }
        LOG.warn(
                "placement with fencing number {} was not written: {}",
                next.fencingNumber(),
                result);
        return mStore.get(DocumentKeys.PLACEMENT)
                .doOnSuccess(kv -> kv.ifPresent(mCache::offerVerified))
                .map(kv -> false);
    }
}

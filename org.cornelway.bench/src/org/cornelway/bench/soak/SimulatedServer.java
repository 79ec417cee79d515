package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.ClassDeadlineQueuePolicy;
import org.cornelway.agent.AgentCore;
import org.cornelway.agent.ModelWorkHandler;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.PresetIndex;
import org.cornelway.controller.PlacementController;
import org.cornelway.exchange.AnswerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.Planner;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.EngineStatus;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.platform.ModelEngine;
import org.cornelway.platform.OrderOutcome;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.DocumentRelay;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.PeerClient;
import org.cornelway.relay.RelayMessages;
import org.cornelway.relay.RelaySettings;
import org.cornelway.residency.LeastRecentlyUsedEviction;
import org.cornelway.residency.Residency;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.ModelState;
import org.cornelway.rpc.ModelWork;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;
import org.cornelway.standin.EngineProfile;
import org.cornelway.standin.InMemoryModelEngine;

/**
 * A simulated backend server: a model engine, and an agent that can be restarted while the engine
 * keeps running.
 *
 * <p>A frozen agent skips its periodic tick, gets the engine's status and order replies only after
 * it resumes, and does not answer its peers. Its placement controller and its document relay keep
 * running.
 *
 * <p>Used only by the thread of its run.
 */
final class SimulatedServer {
    static final long MEMORY_BYTES = 40L << 30;

    private static final long TICK_MILLIS = 100;

    /** Longest time that the engine takes to execute an order. */
    private static final long MAX_ORDER_MILLIS = 1_500;

    private final String mId;
    private final boolean mChecksFencing;
    private final TestScheduler mScheduler;
    private final Random mRandom;
    private final FaultMix mMix;
    private final RunReport mReport;
    private final KeyValueStore mStore;
    private final PeerClient mPeers;
    private final Planner mPlanner;
    private final InMemoryModelEngine mEngine;
    private List<Member> mInstanceList = List.of();
    private Incarnation mIncarnation;
    private long mFrozenUntilMillis;
    private boolean mFaultsStopped;
    private int mRequestCount;
    private int mInstanceListVersion;
    private boolean mLeaving;

    /**
     * @param checksFencing whether the engine checks fencing numbers
     * @param onLoad called with the model when the engine begins a load
     */
    SimulatedServer(
            String id,
            boolean checksFencing,
            TestScheduler scheduler,
            Random random,
            FaultMix mix,
            RunReport report,
            KeyValueStore store,
            PeerClient peers,
            Planner planner,
            Consumer<String> onLoad) {
        mId = id;
        mChecksFencing = checksFencing;
        mScheduler = scheduler;
        mRandom = random;
        mMix = mix;
        mReport = report;
        mStore = store;
        mPeers = peers;
        mPlanner = planner;
        mEngine =
                new InMemoryModelEngine(
                        new EngineProfile(
                                MEMORY_BYTES, 16L << 30, 0, checksFencing, 20, 5, 20, 8, 4),
                        scheduler,
                        this::chooseOrderBehavior,
                        onLoad);
        mIncarnation = new Incarnation();
    }

    /**
     * Chooses at random how long the engine takes for an order and whether its response is lost.
     */
    private InMemoryModelEngine.OrderBehavior chooseOrderBehavior(EngineOrder order) {
        boolean responseLost =
                !mFaultsStopped && mRandom.nextDouble() < mMix.responseLossProbability();
        if (responseLost) {
            mReport.countFault(RunReport.FaultKind.ORDER_ANSWER_LOST);
        }
        return new InMemoryModelEngine.OrderBehavior(
                1 + mRandom.nextInt((int) MAX_ORDER_MILLIS), responseLost);
    }

    /** One incarnation of the agent process, from its start until it is killed. */
    private final class Incarnation {
        private final MemberTable mMembers = new MemberTable(mId);
        private final DocumentCache mCache =
                new DocumentCache(PlacementRun.invariants(), PlacementRun.newMetrics());
        private final Residency mResidency =
                new Residency(
                        mId,
                        new MemoryLedger(0, PlacementRun.invariants()),
                        new LeastRecentlyUsedEviction(),
                        PlacementRun.invariants());
        private final AgentCore mCore;
        private final PlacementController mController;
        private final DocumentRelay mRelay;
        private final List<io.reactivex.rxjava3.disposables.Disposable> mTasks = new ArrayList<>();
        private boolean mAlive = true;

        Incarnation() {
            mMembers.update(mInstanceList);
            AdmissionQueue queue =
                    new AdmissionQueue(
                            new ClassDeadlineQueuePolicy(1_000), 8, 64, PlacementRun.invariants());
            ModelWorkHandler handler =
                    new ModelWorkHandler(
                            mResidency,
                            queue,
                            new AgentEngineClient(this),
                            mScheduler,
                            PlacementRun.newMetrics());
            mCore = new AgentCore(handler, mScheduler, () -> false, PlacementRun.newMetrics());
            mController =
                    new PlacementController(
                            mMembers,
                            mCache,
                            mStore,
                            mPeers,
                            mPlanner,
                            mScheduler,
                            PlacementRun.invariants(),
                            PlacementRun.newMetrics());
            mRelay =
                    new DocumentRelay(
                            mCache,
                            mMembers,
                            mPeers,
                            mStore,
                            mScheduler,
                            new RelaySettings(2, 1_000, 2),
                            mRandom,
                            PlacementRun.newMetrics());
            mRelay.start().subscribe();
            mController.start().subscribe();
            mTasks.add(
                    mScheduler.schedulePeriodicallyDirect(
                            this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS));
        }

        private void tick() {
            if (mAlive && !isFrozen()) {
                mCache.all().forEach(this::apply);
                mCore.tick();
            }
        }

        private void apply(KeyValue document) {
            if (document.key().equals(DocumentKeys.CONFIGURATION)) {
                Json.read(document.value(), Configuration.class)
                        .ifPresent(c -> mResidency.applyPreset(new PresetIndex(c.preset())));
            } else {
                boolean mayLoad = mChecksFencing || mCache.isVerified(DocumentKeys.PLACEMENT);
                Json.read(document.value(), PlacementDocument.class)
                        .ifPresent(d -> mResidency.applyPlacement(d, mayLoad));
            }
        }

        void kill() {
            mAlive = false;
            mTasks.forEach(io.reactivex.rxjava3.disposables.Disposable::dispose);
            mRelay.stop().subscribe();
            mController.kill();
        }
    }

    /**
     * The engine client of one incarnation of the agent. Calls of an incarnation that was killed
     * get no reply; a frozen one gets the replies to status calls and orders after it resumes.
     */
    private final class AgentEngineClient implements ModelEngine {
        private final Incarnation mOwner;

        AgentEngineClient(Incarnation owner) {
            mOwner = owner;
        }

        private <T> Single<T> replyIfAlive(Single<T> call) {
            return Single.defer(() -> mOwner.mAlive ? call : Single.never())
                    .flatMap(value -> deliverAfterFreeze(value));
        }

        private <T> Single<T> deliverAfterFreeze(T value) {
            long now = mScheduler.now(TimeUnit.MILLISECONDS);
            long wait = Math.max(0, mFrozenUntilMillis - now);
            return Single.timer(wait, TimeUnit.MILLISECONDS, mScheduler)
                    .flatMap(tick -> mOwner.mAlive ? Single.just(value) : Single.never());
        }

        @Override
        public Single<EngineStatus> status() {
            return replyIfAlive(mEngine.status());
        }

        @Override
        public Single<OrderOutcome> order(EngineOrder order) {
            return replyIfAlive(mEngine.order(order));
        }

        @Override
        public Flowable<byte[]> runCompletion(CompletionCall call) {
            return mOwner.mAlive ? mEngine.runCompletion(call) : Flowable.never();
        }
    }

    String id() {
        return mId;
    }

    InMemoryModelEngine engine() {
        return mEngine;
    }

    Member member() {
        return new Member(
                mId,
                Member.ROLE_AGENT,
                mId,
                "r",
                "z" + mId.hashCode() % 3,
                mLeaving,
                Member.KIND_MODEL,
                "",
                MEMORY_BYTES);
    }

    /** Updates the agent's instance list; an older version that arrives late is ignored. */
    void updateInstanceList(int version, List<Member> members) {
        if (version > mInstanceListVersion) {
            mInstanceListVersion = version;
            mInstanceList = members;
            mIncarnation.mMembers.update(members);
        }
    }

    void setLeaving() {
        mLeaving = true;
    }

    /** Kills the agent process and starts a new incarnation; the engine keeps its models. */
    void restartAgent() {
        mIncarnation.kill();
        mIncarnation = new Incarnation();
    }

    /** Kills the agent and unloads all models, as if the platform had removed the instance. */
    void stop() {
        mIncarnation.kill();
        mEngine.residentModels().stream().toList().forEach(this::unload);
    }

    private void unload(String model) {
        // The highest fencing number, so that no engine rejects the order.
        EngineOrder order = new EngineOrder(EngineOrder.Kind.UNLOAD, model, "", 0, Long.MAX_VALUE);
        mEngine.order(order).subscribe();
    }

    /** Freezes the agent until a point in virtual time, in milliseconds. */
    void freeze(long untilMillis) {
        mFrozenUntilMillis = untilMillis;
    }

    boolean isFrozen() {
        return mScheduler.now(TimeUnit.MILLISECONDS) < mFrozenUntilMillis;
    }

    /** Ends a freeze, if there is one, and stops the injection of faults into orders. */
    void stopFaults() {
        mFaultsStopped = true;
        mFrozenUntilMillis = 0;
    }

    /** Sends a completion request for a model to the agent, unless the agent is frozen. */
    void sendRequest(String model) {
        if (isFrozen()) {
            return;
        }
        long deadline = mScheduler.now(TimeUnit.MILLISECONDS) + 1_000 + mRandom.nextInt(20_000);
        ExchangeRequest request =
                ExchangeRequest.newBuilder()
                        .setRequestId(mId + "-" + mRequestCount++)
                        .setDeadlineMillis(deadline)
                        .setModelWork(ModelWork.newBuilder().setModel(model))
                        .build();
        mIncarnation.mCore.startOrAttach(request, new SingleEndChecker(request, mReport));
    }

    /** Checks that an exchange ends at most once and sends no chunk after its end. */
    private static final class SingleEndChecker implements AnswerSink {
        private final ExchangeRequest mRequest;
        private final RunReport mReport;
        private boolean mEnded;

        SingleEndChecker(ExchangeRequest request, RunReport report) {
            mRequest = request;
            mReport = report;
        }

        @Override
        public void onChunk(long sequence, byte[] data) {
            mReport.check(!mEnded, mRequest.getRequestId() + " got a chunk after its end");
        }

        @Override
        public void onEnd(Outcome outcome) {
            mReport.check(!mEnded, mRequest.getRequestId() + " ended twice");
            mEnded = true;
        }
    }

    /**
     * Answers a peer's call for the agent's state; must not be called while the agent is frozen.
     */
    DescribeReply describe() {
        DescribeReply.Builder reply =
                DescribeReply.newBuilder()
                        .setInstance(mId)
                        .setRecovered(mIncarnation.mResidency.isRecovered())
                        .setPlacementFencingNumber(mIncarnation.mResidency.fencingNumber());
        mIncarnation
                .mResidency
                .heldModels()
                .forEach(held -> reply.addModels(ModelState.newBuilder().setModel(held.model())));
        return reply.build();
    }

    /** Answers a peer's relay message; must not be called while the agent is frozen. */
    RelayReply relay(RelayRequest request) {
        return new RelayMessages(mId, mIncarnation.mCache).handleRequest(request);
    }
}

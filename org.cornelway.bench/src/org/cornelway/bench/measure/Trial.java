package org.cornelway.bench.measure;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.agent.ModelWorkHandler;
import org.cornelway.bench.soak.EmptyDocumentRevisions;
import org.cornelway.bench.soak.FaultMix;
import org.cornelway.bench.soak.RunReport;
import org.cornelway.bench.soak.SimulatedAgent;
import org.cornelway.bench.soak.SimulatedGateway;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.Configuration;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;
import org.cornelway.config.PresetIndex;
import org.cornelway.entry.CallerSink;
import org.cornelway.entry.EntryContext;
import org.cornelway.entry.EntryCore;
import org.cornelway.entry.EntryRequest;
import org.cornelway.entry.RetryBudget;
import org.cornelway.exchange.Outcome;
import org.cornelway.invariant.Invariants;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.PlacementPlanner;
import org.cornelway.placement.ServerView;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.Member;
import org.cornelway.residency.LeastRecentlyUsedEviction;
import org.cornelway.residency.Residency;
import org.cornelway.result.ResultCode;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.RoutingTarget;
import org.cornelway.routing.RoutingView;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.ModelWork;
import org.cornelway.rpc.RequestClass;
import org.cornelway.standin.EngineProfile;
import org.cornelway.standin.InMemoryModelEngine;
import org.cornelway.time.Deadline;

/**
 * Runs the system's entry and agent code in virtual time under a request load that is generated
 * from a seed. The in-memory engines share one simulated checkpoint store.
 *
 * <p>The load is open-loop: arrivals do not wait for answers, and latency is measured from the
 * scheduled arrival. Used by one thread, for one call of {@link #run}.
 */
final class Trial {
    private static final int ENTRIES = 3;
    private static final long GIB = 1L << 30;
    private static final long ENGINE_BYTES = 80 * GIB;
    private static final long MODEL_BYTES = 16 * GIB;
    private static final int MAX_CONCURRENT_REQUESTS = 8;
    private static final int TOKEN_MILLIS = 20;
    private static final int SHORT_TOKENS = 25;
    private static final int LONG_TOKENS = 1_500;
    private static final int MAX_CONCURRENT_LOADS = 4;
    private static final long SHORT_TIMEOUT_MILLIS = 30_000;
    private static final long LONG_TIMEOUT_MILLIS = 3_600_000;
    private static final long UNLOAD_MILLIS = 20;
    private static final double SLOW_FACTOR = 10;

    private final Deployment mDeployment;
    private final Scenario mScenario;
    private final PolicySet mPolicies;
    private final TestScheduler mScheduler = new TestScheduler();
    private final Random mArrivalRandom;
    private final Random mRandom;
    private final TrialResult mResult = new TrialResult();
    private final Map<String, SimulatedAgent> mAgents = new TreeMap<>();
    private final List<InMemoryModelEngine> mEngines = new ArrayList<>();
    private final List<EntryCore> mEntries = new ArrayList<>();

    /**
     * End times of at most the last {@link #MAX_CONCURRENT_LOADS} loads, in the order of their
     * start.
     */
    private final Queue<Long> mLoadEndMillis = new ArrayDeque<>();

    private final PlacementDocument mPlacement;
    private final Preset mPreset;
    private int mRequestCount;

    Trial(Deployment deployment, Scenario scenario, PolicySet policies, long seed) {
        mDeployment = deployment;
        mScenario = scenario;
        mPolicies = policies;
        mArrivalRandom = new Random(seed);
        mRandom = new Random(seed + 1);
        mPreset = preset();
        mPlacement = placement();
        for (int i = 0; i < deployment.servers(); i++) {
            addServer(i);
        }
        RoutingView view =
                new RoutingView(Optional.of(new PresetIndex(mPreset)), mPlacement, members());
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(newEntry(view));
        }
    }

    private Preset preset() {
        List<ModelRule> rules = new ArrayList<>();
        for (int i = 0; i < mDeployment.models(); i++) {
            int warm = i < mScenario.hotModels() ? mScenario.replicaLimit() : 0;
            rules.add(new ModelRule("m" + i, MODEL_BYTES, warm, mScenario.replicaLimit()));
        }
        return new Preset("p", rules, List.of(), List.of(), List.of(), 600_000, 0.5);
    }

    private PlacementDocument placement() {
        List<ServerView> servers = new ArrayList<>();
        for (int i = 0; i < mDeployment.servers(); i++) {
            servers.add(new ServerView("s" + i, "z" + i % 3, ENGINE_BYTES, false));
        }
        AuditEntry entry = new AuditEntry("c", "trial", 0, "switch", "", "", 1);
        return new PlacementPlanner(mPolicies.placement())
                .plan(
                        PlacementDocument.empty(0),
                        new Configuration(1, mPreset, List.of(entry), 0),
                        servers,
                        Set.of(),
                        "trial")
                .orElseThrow();
    }

    private void addServer(int index) {
        InMemoryModelEngine engine =
                new InMemoryModelEngine(
                        new EngineProfile(
                                ENGINE_BYTES, MODEL_BYTES, 0, true, 20, 6, TOKEN_MILLIS, 8, 25),
                        mScheduler,
                        this::orderBehavior,
                        model -> {});
        mEngines.add(engine);
        String id = "s" + index;
        Member member =
                new Member(
                        id,
                        Member.ROLE_AGENT,
                        id,
                        "r",
                        "z" + index % 3,
                        false,
                        Member.KIND_MODEL,
                        "",
                        ENGINE_BYTES);
        mAgents.put(
                id, new SimulatedAgent(member, mScheduler, incarnation -> newHandler(id, engine)));
    }

    private ModelWorkHandler newHandler(String id, InMemoryModelEngine engine) {
        Residency residency =
                new Residency(
                        id,
                        new MemoryLedger(0, Invariants.strict()),
                        new LeastRecentlyUsedEviction(),
                        Invariants.strict());
        residency.applyPreset(new PresetIndex(mPreset));
        residency.applyPlacement(mPlacement, true);
        AdmissionQueue queue =
                new AdmissionQueue(
                        mPolicies.queue(), MAX_CONCURRENT_REQUESTS, 512, Invariants.strict());
        queue.setDeferredShare(mPreset.deferredShare());
        return new ModelWorkHandler(residency, queue, engine, mScheduler, new MetricRegistry());
    }

    /**
     * Returns how an engine executes an order. A load that begins while the checkpoint store serves
     * {@link #MAX_CONCURRENT_LOADS} loads also waits until the earliest of them ends.
     */
    private InMemoryModelEngine.OrderBehavior orderBehavior(EngineOrder order) {
        if (order.kind() != EngineOrder.Kind.LOAD) {
            return new InMemoryModelEngine.OrderBehavior(UNLOAD_MILLIS, false);
        }
        long loadMillis = Math.round(MAX_CONCURRENT_LOADS * 1_000 / mDeployment.loadsPerSecond());
        long start = now();
        if (mLoadEndMillis.size() >= MAX_CONCURRENT_LOADS) {
            start = Math.max(start, mLoadEndMillis.remove());
        }
        mLoadEndMillis.add(start + loadMillis);
        return new InMemoryModelEngine.OrderBehavior(start + loadMillis - now(), false);
    }

    private Map<String, Member> members() {
        Map<String, Member> members = new TreeMap<>();
        mAgents.forEach((id, agent) -> members.put(id, agent.member()));
        return members;
    }

    private EntryCore newEntry(RoutingView view) {
        EntryContext context =
                new EntryContext(
                        new SimulatedGateway(
                                mAgents, mScheduler, mRandom, FaultMix.none(), new RunReport()),
                        mPolicies.chooserFactory().get(),
                        new AgentLoadTable(this::now),
                        () -> view,
                        new EmptyDocumentRevisions(),
                        new RetryBudget(0.1, 50),
                        mScheduler,
                        mRandom::nextInt,
                        Invariants.strict(),
                        new MetricRegistry());
        return new EntryCore(context, 100_000);
    }

    /** Applies the whole load, and returns the outcomes and latencies of its requests. */
    TrialResult run() {
        // The engines load the warm replicas before the first request arrives.
        mScheduler.advanceTimeBy(5, TimeUnit.MINUTES);
        for (int i = 0; i < mScenario.slowServers(); i++) {
            mEngines.get(i).setSlowFactor(SLOW_FACTOR);
        }
        double arrivalMillis = 0;
        while (arrivalMillis < mScenario.durationSeconds() * 1_000L) {
            // Arrivals form a Poisson process: the gaps between them are exponentially distributed.
            double gapSeconds =
                    -Math.log(1 - mArrivalRandom.nextDouble()) / mScenario.requestsPerSecond();
            arrivalMillis += gapSeconds * 1_000;
            mScheduler.scheduleDirect(createArrival(), (long) arrivalMillis, TimeUnit.MILLISECONDS);
        }
        // A request that arrives last can run for up to LONG_TIMEOUT_MILLIS.
        mScheduler.advanceTimeBy(mScenario.durationSeconds() + 3_600L, TimeUnit.SECONDS);
        return mResult;
    }

    /**
     * Creates the task that submits the next request. Chooses all random properties of the request
     * now and not at its arrival, so that every policy set gets the same requests.
     */
    private Runnable createArrival() {
        boolean isCold = mArrivalRandom.nextDouble() < mScenario.coldShare();
        int hot = mScenario.hotModels();
        int model =
                isCold
                        ? hot + mArrivalRandom.nextInt(mDeployment.models() - hot)
                        : mArrivalRandom.nextInt(hot);
        boolean isLong = mArrivalRandom.nextDouble() < mScenario.longShare();
        int entry = mArrivalRandom.nextInt(ENTRIES);
        return () -> submit("m" + model, isLong, mEntries.get(entry));
    }

    private boolean isResidentOnAnyEngine(String model) {
        return mEngines.stream().anyMatch(engine -> engine.residentModels().contains(model));
    }

    private void submit(String model, boolean isLong, EntryCore entry) {
        boolean measuresColdStarts = mScenario.measure().equals("cold-start");
        boolean measured = measuresColdStarts ? !isResidentOnAnyEngine(model) : !isLong;
        long timeoutMillis = isLong ? LONG_TIMEOUT_MILLIS : SHORT_TIMEOUT_MILLIS;
        Deadline deadline = Deadline.after(now(), timeoutMillis);
        int tokens = isLong ? LONG_TOKENS : SHORT_TOKENS;
        byte[] body = ("{\"max_tokens\":" + tokens + "}").getBytes(StandardCharsets.UTF_8);
        ExchangeRequest template =
                ExchangeRequest.newBuilder()
                        .setDeadlineMillis(deadline.epochMillis())
                        .setRequestClass(isLong ? RequestClass.DEFERRED : RequestClass.INTERACTIVE)
                        .setModelWork(
                                ModelWork.newBuilder()
                                        .setModel(model)
                                        .setBody(com.google.protobuf.ByteString.copyFrom(body)))
                        .build();
        EntryRequest request =
                new EntryRequest(
                        "r" + mRequestCount++,
                        RoutingTarget.ofModel(model),
                        "",
                        deadline,
                        true,
                        false,
                        template);
        mResult.recordStart();
        entry.submit(
                request,
                Optional.empty(),
                new Caller(measured, measuresColdStarts, tokens, timeoutMillis));
    }

    /** A simulated caller that records the outcome and the latency of its one request. */
    private final class Caller implements CallerSink {
        private final boolean mMeasured;
        private final boolean mMeasuresTimeToFirstToken;
        private final int mExpectedTokens;
        private final long mTimeoutMillis;
        private final long mStartMillis = now();
        private long mFirstTokenMillis;
        private int mReceivedTokens;

        /**
         * @param measured whether the latency counts in the result
         * @param measuresTimeToFirstToken whether the latency ends at the first token and not at
         *     the end of the response
         * @param expectedTokens number of tokens that a complete response has
         * @param timeoutMillis time from the start of the request to its deadline
         */
        Caller(
                boolean measured,
                boolean measuresTimeToFirstToken,
                int expectedTokens,
                long timeoutMillis) {
            mMeasured = measured;
            mMeasuresTimeToFirstToken = measuresTimeToFirstToken;
            mExpectedTokens = expectedTokens;
            mTimeoutMillis = timeoutMillis;
        }

        @Override
        public void onChunk(byte[] data) {
            if (mReceivedTokens++ == 0) {
                mFirstTokenMillis = now() - mStartMillis;
            }
        }

        @Override
        public boolean canReset() {
            return true;
        }

        @Override
        public void reset() {
            mReceivedTokens = 0;
        }

        @Override
        public void onEnd(Outcome outcome) {
            if (outcome.code() != ResultCode.OK) {
                boolean notRun =
                        outcome.code().executionState() == ResultCode.ExecutionState.NOT_RUN;
                mResult.recordFailure(mMeasured, notRun, mTimeoutMillis);
                return;
            }
            if (mReceivedTokens != mExpectedTokens) {
                mResult.recordViolation();
            }
            mResult.recordAnswer(
                    mMeasured,
                    mMeasuresTimeToFirstToken ? mFirstTokenMillis : now() - mStartMillis);
        }
    }

    private long now() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}

package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.FifoQueuePolicy;
import org.cornelway.agent.PlainWorkHandler;
import org.cornelway.agent.WorkHandler;
import org.cornelway.bench.DemoPresets;
import org.cornelway.config.PresetIndex;
import org.cornelway.entry.CallerSink;
import org.cornelway.entry.EntryContext;
import org.cornelway.entry.EntryCore;
import org.cornelway.entry.EntryRequest;
import org.cornelway.entry.RetryBudget;
import org.cornelway.exchange.Outcome;
import org.cornelway.intent.IntentSettings;
import org.cornelway.intent.ShardedIntentLog;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.SlotBinding;
import org.cornelway.platform.Member;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.PlainResponse;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.LoadAwareChooser;
import org.cornelway.routing.RoutingTarget;
import org.cornelway.routing.RoutingView;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.ModelWork;
import org.cornelway.rpc.PlainWork;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryModelEngine;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Deadline;

/**
 * Sends requests of all kinds over faulty connections to agents that are at times killed or frozen.
 *
 * <p>Connections break, silently drop all traffic, repeat frames and deliver frames of other calls.
 *
 * <p>Checks that each request ends exactly once and no later than its deadline, that a successful
 * answer is complete and belongs to its request, that a call that may not be repeated runs at most
 * once, and that a plain call without an idempotency key did not run if it was reported as not run.
 */
public final class ExchangeRun implements RandomRun {
    /** Number of agents of model engines, and number of agents of the plain service. */
    private static final int AGENTS_PER_KIND = 3;

    /** Maximum time between two submissions of requests. */
    private static final int MAX_STEP_MILLIS = 80;

    /** Time without faults at the end of a run, in which every open request must end. */
    private static final long FAULT_FREE_MILLIS = 60_000;

    private static final String SERVICE = "booking";
    private static final String MODEL = "model-0";

    @Override
    public String name() {
        return "exchanges";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        RunState state = new RunState(seed, mix);
        state.run(steps);
        return state.mReport;
    }

    /** The state of one run. */
    private static final class RunState {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStoreState = new KeyValueState(this::now);
        private final Map<String, SimulatedAgent> mAgents = new TreeMap<>();

        /** How often the plain service ran each call, by the body of the call. */
        private final Map<String, Integer> mRunCounts = new HashMap<>();

        /** Bodies of the plain calls without idempotency key that were reported as not run. */
        private final List<String> mReportedNotRun = new ArrayList<>();

        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mStoreFaults;
        private final SimulatedGateway mGateway;
        private final EntryCore mEntry;
        private int mRequestCount;
        private int mEndedCount;

        RunState(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mMix = mix;
            mStoreFaults = new StoreFaults(mRandom, mix, mReport);
            for (int i = 0; i < AGENTS_PER_KIND; i++) {
                addAgent("m" + i, Member.KIND_MODEL, "");
                addAgent("p" + i, Member.KIND_PLAIN, SERVICE);
            }
            mGateway = new SimulatedGateway(mAgents, mScheduler, mRandom, mix, mReport);
            mEntry = newEntry();
        }

        private void addAgent(String id, String kind, String service) {
            Member member =
                    new Member(id, Member.ROLE_AGENT, id, "r", "z", false, kind, service, 0);
            boolean isModel = kind.equals(Member.KIND_MODEL);
            mAgents.put(
                    id,
                    new SimulatedAgent(
                            member,
                            mScheduler,
                            incarnation ->
                                    isModel
                                            ? new StreamingHandler(mScheduler, mRandom)
                                            : plainHandler()));
        }

        private WorkHandler plainHandler() {
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(mStoreState, mScheduler, mStoreFaults);
            return new PlainWorkHandler(
                    new AdmissionQueue(new FifoQueuePolicy(), 8, 64, PlacementRun.invariants()),
                    this::callPlainService,
                    new ShardedIntentLog(
                            SERVICE,
                            store,
                            mScheduler,
                            new IntentSettings(2, 50, 7_200_000, 256),
                            PlacementRun.invariants()),
                    mScheduler,
                    PlacementRun.invariants(),
                    PlacementRun.newMetrics());
        }

        /** Simulates the plain service: it refuses a call, or runs it and may lose the answer. */
        private Single<Result<PlainResponse>> callPlainService(PlainCall call) {
            if (mRandom.nextDouble() < mMix.connectionFaultProbability()) {
                return Single.just(Result.failed(ResultCode.NO_REPLICA, "refused"));
            }
            String body = new String(call.body(), StandardCharsets.UTF_8);
            mRunCounts.merge(body, 1, Integer::sum);
            boolean lost = mRandom.nextDouble() < mMix.responseLossProbability();
            byte[] answer = ("done " + body).getBytes(StandardCharsets.UTF_8);
            Result<PlainResponse> result =
                    lost
                            ? Result.failed(ResultCode.OUTCOME_UNKNOWN, "answer lost")
                            : Result.ok(new PlainResponse(200, "text/plain", answer));
            return Single.timer(1 + mRandom.nextInt(200), TimeUnit.MILLISECONDS, mScheduler)
                    .map(tick -> result);
        }

        private EntryCore newEntry() {
            List<SlotBinding> bindings = new ArrayList<>();
            Map<String, Member> members = new TreeMap<>();
            mAgents.forEach((id, agent) -> members.put(id, agent.member()));
            for (int i = 0; i < AGENTS_PER_KIND; i++) {
                bindings.add(new SlotBinding(MODEL, i, "m" + i, true, false));
            }
            RoutingView view =
                    new RoutingView(
                            Optional.of(
                                    new PresetIndex(
                                            DemoPresets.preset("p", 1, 1, AGENTS_PER_KIND))),
                            new PlacementDocument(0, 1, "", 1, bindings),
                            members);
            EntryContext context =
                    new EntryContext(
                            mGateway,
                            new LoadAwareChooser(mRandom::nextInt, 2),
                            new AgentLoadTable(this::now),
                            () -> view,
                            new EmptyDocumentRevisions(),
                            new RetryBudget(1, 1_000),
                            mScheduler,
                            mRandom::nextInt,
                            PlacementRun.invariants(),
                            PlacementRun.newMetrics());
            return new EntryCore(context, 100_000);
        }

        void run(int steps) {
            for (int step = 0; step < steps; step++) {
                mScheduler.advanceTimeBy(
                        1 + mRandom.nextInt(MAX_STEP_MILLIS), TimeUnit.MILLISECONDS);
                submit();
                if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                    mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
                    randomAgent().restart();
                }
                if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                    mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
                    randomAgent().freeze(now() + mRandom.nextInt(6_000));
                }
            }
            mStoreFaults.stopFaults();
            mGateway.stopFaults();
            mScheduler.advanceTimeBy(FAULT_FREE_MILLIS, TimeUnit.MILLISECONDS);
            mReport.check(
                    mEndedCount == mRequestCount,
                    mEndedCount + " of " + mRequestCount + " requests ended");
            mReportedNotRun.forEach(
                    body ->
                            mReport.check(
                                    !mRunCounts.containsKey(body),
                                    body + " ran but was reported as not run"));
        }

        private SimulatedAgent randomAgent() {
            List<SimulatedAgent> agents = new ArrayList<>(mAgents.values());
            return agents.get(mRandom.nextInt(agents.size()));
        }

        private void submit() {
            mReport.countOperation();
            String id = "r" + mRequestCount++;
            Deadline deadline = Deadline.after(now(), 300 + mRandom.nextInt(6_000));
            switch (mRandom.nextInt(4)) {
                case 0 -> submitModel(id, deadline);
                case 1 -> submitPlain(id, deadline, "GET", "");
                case 2 -> submitPlain(id, deadline, "POST", "");
                default -> submitKeyed(id, deadline);
            }
        }

        private void submitModel(String id, Deadline deadline) {
            ExchangeRequest template =
                    ExchangeRequest.newBuilder()
                            .setDeadlineMillis(deadline.epochMillis())
                            .setModelWork(ModelWork.newBuilder().setModel(MODEL))
                            .build();
            EntryRequest request =
                    new EntryRequest(
                            id, RoutingTarget.ofModel(MODEL), "", deadline, true, false, template);
            mEntry.submit(request, Optional.empty(), new Caller(id, deadline, "", true));
        }

        private void submitPlain(String id, Deadline deadline, String method, String key) {
            boolean repeatable = method.equals("GET");
            String body = key.isEmpty() ? id : key;
            PlainWork work =
                    PlainWork.newBuilder()
                            .setService(SERVICE)
                            .setMethod(method)
                            .setPath("/x")
                            .setRepeatable(repeatable)
                            .setIdempotencyKey(key)
                            .setBody(com.google.protobuf.ByteString.copyFromUtf8(body))
                            .build();
            ExchangeRequest template =
                    ExchangeRequest.newBuilder()
                            .setDeadlineMillis(deadline.epochMillis())
                            .setPlainWork(work)
                            .build();
            String affinity = key.isEmpty() ? "" : "/" + key;
            EntryRequest request =
                    new EntryRequest(
                            id,
                            RoutingTarget.ofService(SERVICE, affinity),
                            "",
                            deadline,
                            repeatable,
                            !key.isEmpty(),
                            template);
            Caller caller = new Caller(id, deadline, body, repeatable);
            mEntry.submit(request, Optional.empty(), caller);
        }

        /**
         * Submits two requests with one idempotency key, the second up to three seconds after the
         * first.
         */
        private void submitKeyed(String id, Deadline deadline) {
            String key = "key-" + id;
            submitPlain(id, deadline, "POST", key);
            String secondId = "r" + mRequestCount++;
            long delay = mRandom.nextInt(3_000);
            mScheduler.scheduleDirect(
                    () -> submitPlain(secondId, Deadline.after(now(), 4_000), "POST", key),
                    delay,
                    TimeUnit.MILLISECONDS);
        }

        /** Checks the answer and the outcome of one request. */
        private final class Caller implements CallerSink {
            private final String mId;
            private final Deadline mDeadline;

            /**
             * Body of a plain call, equal to its request id, or to its idempotency key if it has
             * one; empty for a model call.
             */
            private final String mBody;

            private final boolean mRepeatable;
            private final List<String> mChunks = new ArrayList<>();
            private boolean mEnded;

            Caller(String id, Deadline deadline, String body, boolean repeatable) {
                mId = id;
                mDeadline = deadline;
                mBody = body;
                mRepeatable = repeatable;
            }

            @Override
            public void onChunk(byte[] data) {
                mReport.check(!mEnded, mId + " got a chunk after its end");
                mChunks.add(new String(data, StandardCharsets.UTF_8));
            }

            @Override
            public boolean canReset() {
                return !mBody.isEmpty();
            }

            @Override
            public void reset() {
                mChunks.clear();
            }

            @Override
            public void onEnd(Outcome outcome) {
                mReport.check(!mEnded, mId + " ended twice");
                mReport.check(now() <= mDeadline.epochMillis(), mId + " ended past its deadline");
                mEnded = true;
                mEndedCount++;
                boolean notRun =
                        outcome.code().executionState() == ResultCode.ExecutionState.NOT_RUN;
                if (notRun && mBody.equals(mId)) {
                    mReportedNotRun.add(mBody);
                }
                if (!mRepeatable) {
                    int runs = mRunCounts.getOrDefault(mBody, 0);
                    mReport.check(runs <= 1, mBody + " ran " + runs + " times");
                }
                if (outcome.code() == ResultCode.OK) {
                    checkAnswer();
                }
            }

            private void checkAnswer() {
                if (!mBody.isEmpty()) {
                    mReport.check(
                            mChunks.equals(List.of("done " + mBody)),
                            mId + " got the answer " + mChunks);
                    return;
                }
                mReport.check(
                        mChunks.size() == StreamingHandler.TOKENS,
                        mId + " got " + mChunks.size() + " tokens");
                String attemptId = mChunks.get(0).substring(0, mChunks.get(0).indexOf('.'));
                mReport.check(
                        attemptId.startsWith(mId + "-"),
                        mId + " got tokens of attempt " + attemptId);
                for (int i = 0; i < mChunks.size(); i++) {
                    byte[] token = InMemoryModelEngine.token(attemptId, i);
                    mReport.check(
                            mChunks.get(i).equals(new String(token, StandardCharsets.UTF_8)),
                            mId + " got " + mChunks.get(i) + " as token " + i);
                }
            }
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }
}

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
 * Requests of all kinds cross connections that break, go silent and repeat or cross frames, to
 * agents that are killed and frozen.
 *
 * <p>Checked: each request ends once and by its deadline; a good answer is whole and its own; a
 * call that may not be repeated runs at most once; "not run" is true.
 */
public final class ExchangeRun implements RandomRun {
    private static final int AGENTS = 3;
    private static final int MAX_STEP_MILLIS = 80;
    private static final long QUIET_MILLIS = 60_000;
    private static final String SERVICE = "booking";
    private static final String MODEL = "model-0";

    @Override
    public String name() {
        return "exchanges";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        World world = new World(seed, mix);
        world.run(steps);
        return world.mReport;
    }

    /** The state of one run. */
    private static final class World {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStore = new KeyValueState(this::now);
        private final Map<String, SimulatedAgent> mAgents = new TreeMap<>();
        private final Map<String, Integer> mRuns = new HashMap<>();
        private final List<String> mToldNotRun = new ArrayList<>();
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private final SimulatedGateway mGateway;
        private final EntryCore mEntry;
        private int mRequests;
        private int mEnded;

        World(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            for (int i = 0; i < AGENTS; i++) {
                addAgent("m" + i, Member.KIND_MODEL, "");
                addAgent("p" + i, Member.KIND_PLAIN, SERVICE);
            }
            mGateway = new SimulatedGateway(mAgents, mScheduler, mRandom, mix, mReport);
            mEntry = entry();
        }

        private void addAgent(String id, String kind, String service) {
            Member member =
                    new Member(id, Member.ROLE_AGENT, id, "r", "z", false, kind, service, 0);
            boolean model = kind.equals(Member.KIND_MODEL);
            mAgents.put(
                    id,
                    new SimulatedAgent(
                            member,
                            mScheduler,
                            life ->
                                    model
                                            ? new StreamingHandler(mScheduler, mRandom)
                                            : plainHandler()));
        }

        private WorkHandler plainHandler() {
            InMemoryKeyValueStore store = new InMemoryKeyValueStore(mStore, mScheduler, mFaults);
            return new PlainWorkHandler(
                    new AdmissionQueue(new FifoQueuePolicy(), 8, 64, PlacementRun.invariants()),
                    this::call,
                    new ShardedIntentLog(
                            SERVICE,
                            store,
                            mScheduler,
                            new IntentSettings(2, 50, 7_200_000, 256),
                            PlacementRun.invariants()),
                    mScheduler,
                    PlacementRun.invariants(),
                    PlacementRun.metrics());
        }

        /** The plain service: runs, and answers unless its answer is lost. */
        private Single<Result<PlainResponse>> call(PlainCall call) {
            if (mRandom.nextDouble() < mMix.connection()) {
                return Single.just(Result.failed(ResultCode.NO_REPLICA, "refused"));
            }
            String body = new String(call.body(), StandardCharsets.UTF_8);
            mRuns.merge(body, 1, Integer::sum);
            boolean lost = mRandom.nextDouble() < mMix.answerLost();
            byte[] answer = ("done " + body).getBytes(StandardCharsets.UTF_8);
            Result<PlainResponse> result =
                    lost
                            ? Result.failed(ResultCode.OUTCOME_UNKNOWN, "answer lost")
                            : Result.ok(new PlainResponse(200, "text/plain", answer));
            return Single.timer(1 + mRandom.nextInt(200), TimeUnit.MILLISECONDS, mScheduler)
                    .map(tick -> result);
        }

        private EntryCore entry() {
            List<SlotBinding> bindings = new ArrayList<>();
            Map<String, Member> members = new TreeMap<>();
            mAgents.forEach((id, agent) -> members.put(id, agent.member()));
            for (int i = 0; i < AGENTS; i++) {
                bindings.add(new SlotBinding(MODEL, i, "m" + i, true, false));
            }
            RoutingView view =
                    new RoutingView(
                            Optional.of(new PresetIndex(DemoPresets.preset("p", 1, 1, AGENTS))),
                            new PlacementDocument(0, 1, "", 1, bindings),
                            members);
            EntryContext services =
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
                            PlacementRun.metrics());
            return new EntryCore(services, 100_000);
        }

        void run(int steps) {
            for (int step = 0; step < steps; step++) {
                mScheduler.advanceTimeBy(
                        1 + mRandom.nextInt(MAX_STEP_MILLIS), TimeUnit.MILLISECONDS);
                submit();
                if (mRandom.nextDouble() < mMix.agentKilled()) {
                    mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
                    randomAgent().restart();
                }
                if (mRandom.nextDouble() < mMix.agentKilled()) {
                    mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
                    randomAgent().freeze(now() + mRandom.nextInt(6_000));
                }
            }
            mFaults.stopFaults();
            mGateway.stopFaults();
            mScheduler.advanceTimeBy(QUIET_MILLIS, TimeUnit.MILLISECONDS);
            mReport.check(mEnded == mRequests, mEnded + " of " + mRequests + " requests ended");
            mToldNotRun.forEach(
                    body ->
                            mReport.check(
                                    !mRuns.containsKey(body), body + " ran but was told not run"));
        }

        private SimulatedAgent randomAgent() {
            List<SimulatedAgent> agents = new ArrayList<>(mAgents.values());
            return agents.get(mRandom.nextInt(agents.size()));
        }

        private void submit() {
            mReport.countOperation();
            String id = "r" + mRequests++;
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

        /** The same key comes twice, at almost the same time or later. */
        private void submitKeyed(String id, Deadline deadline) {
            String key = "key-" + id;
            submitPlain(id, deadline, "POST", key);
            String again = "r" + mRequests++;
            long delay = mRandom.nextInt(3_000);
            mScheduler.scheduleDirect(
                    () -> submitPlain(again, Deadline.after(now(), 4_000), "POST", key),
                    delay,
                    TimeUnit.MILLISECONDS);
        }

        /** Checks one request's answer. */
        private final class Caller implements CallerSink {
            private final String mId;
            private final Deadline mDeadline;
            private final String mBody;
            private final boolean mRepeatable;
            private final List<String> mChunks = new ArrayList<>();
            private boolean mDone;

            Caller(String id, Deadline deadline, String body, boolean repeatable) {
                mId = id;
                mDeadline = deadline;
                mBody = body;
                mRepeatable = repeatable;
            }

            @Override
            public void chunk(byte[] data) {
                mReport.check(!mDone, mId + " got a chunk after its end");
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
            public void end(Outcome ending) {
                mReport.check(!mDone, mId + " ended twice");
                mReport.check(now() <= mDeadline.epochMillis(), mId + " ended past its deadline");
                mDone = true;
                mEnded++;
                boolean notRun =
                        ending.code().executionState() == ResultCode.ExecutionState.NOT_RUN;
                if (notRun && mBody.equals(mId)) {
                    mToldNotRun.add(mBody);
                }
                if (!mRepeatable) {
                    int runs = mRuns.getOrDefault(mBody, 0);
                    mReport.check(runs <= 1, mBody + " ran " + runs + " times");
                }
                if (ending.code() == ResultCode.OK) {
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
                String submission = mChunks.get(0).substring(0, mChunks.get(0).indexOf('.'));
                mReport.check(submission.startsWith(mId + "-"), mId + " got " + submission);
                for (int i = 0; i < mChunks.size(); i++) {
                    byte[] token = InMemoryModelEngine.token(submission, i);
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

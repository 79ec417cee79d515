package org.cornelway.bench.soak;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.intent.IntentDecision;
import org.cornelway.intent.IntentLog;
import org.cornelway.intent.IntentRequest;
import org.cornelway.intent.IntentSettings;
import org.cornelway.intent.RecordedOutcome;
import org.cornelway.intent.ShardedIntentLog;
import org.cornelway.invariant.Invariants;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Deadline;

/**
 * Tests the intent logs of several agents, which receive several calls with each idempotency key.
 *
 * <p>The key-value service fails, and agents are killed, also between recording an intent and
 * running its call.
 *
 * <p>Checks that at most one call runs for each key, and that a returned outcome is that of a call
 * with the same key that ran exactly once.
 */
public final class IntentRun implements RandomRun {
    private static final int AGENTS = 3;

    /** Number of keys in use at a time. Each step picks one of this many newest keys at random. */
    private static final int CONCURRENT_KEYS = 4;

    private static final int STEPS_PER_NEW_KEY = 8;
    private static final int MAX_STEP_MILLIS = 60;
    private static final int MAX_CALL_MILLIS = 100;

    /** Time without faults in which open calls end, before and after the last call of each key. */
    private static final long FAULT_FREE_MILLIS = 120_000;

    private final IntentLogFactory mFactory;

    /** Tests the sharded intent log. */
    public IntentRun() {
        this(
                (store, control) ->
                        new ShardedIntentLog(
                                "s",
                                store,
                                control,
                                new IntentSettings(2, 50, 7_200_000, 64),
                                Invariants.strict()));
    }

    /** Tests the intent logs that a factory creates. */
    public IntentRun(IntentLogFactory factory) {
        mFactory = factory;
    }

    @Override
    public String name() {
        return "intents";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        RunState state = new RunState(seed, mix);
        state.run(steps);
        return state.mReport;
    }

    /** One incarnation of an agent; it does nothing after it is killed. */
    private static final class Agent {
        private final IntentLog mLog;
        private boolean mAlive = true;

        Agent(IntentLog log) {
            mLog = log;
        }
    }

    /** The state of one run. */
    private final class RunState {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStoreState = new KeyValueState(this::now);
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private final List<Agent> mAgents = new ArrayList<>();
        private final Map<String, Integer> mRunCounts = new TreeMap<>();
        private int mAttemptCount;

        RunState(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            for (int i = 0; i < AGENTS; i++) {
                mAgents.add(newAgent());
            }
        }

        private Agent newAgent() {
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(mStoreState, mScheduler, mFaults);
            return new Agent(mFactory.create(store, mScheduler));
        }

        void run(int steps) {
            int keyCount = 0;
            for (int step = 0; step < steps; step++) {
                mScheduler.advanceTimeBy(
                        1 + mRandom.nextInt(MAX_STEP_MILLIS), TimeUnit.MILLISECONDS);
                keyCount = CONCURRENT_KEYS + step / STEPS_PER_NEW_KEY;
                String key = "k" + (keyCount - 1 - mRandom.nextInt(CONCURRENT_KEYS));
                beginCall(mAgents.get(mRandom.nextInt(AGENTS)), key);
                if (mRandom.nextDouble() < mMix.agentKillProbability()) {
                    restart(mRandom.nextInt(AGENTS));
                }
                // If the mix loses calls, the key-value service is down for 20 of every 200 steps.
                if (mMix.callLossProbability() > 0 && step % 200 == 100) {
                    mFaults.setOutage(true);
                } else if (step % 200 == 120) {
                    mFaults.setOutage(false);
                }
            }
            mFaults.stopFaults();
            mScheduler.advanceTimeBy(FAULT_FREE_MILLIS, TimeUnit.MILLISECONDS);
            for (int key = 0; key < keyCount; key++) {
                beginCall(mAgents.get(key % AGENTS), "k" + key);
                mScheduler.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
            }
            mScheduler.advanceTimeBy(FAULT_FREE_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Kills an agent and starts a new incarnation. */
        private void restart(int index) {
            mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
            mAgents.get(index).mAlive = false;
            mAgents.set(index, newAgent());
        }

        /** Asks the intent log of an agent whether a call with a key may run, and runs it if so. */
        private void beginCall(Agent agent, String key) {
            mReport.countOperation();
            String attempt = "a" + mAttemptCount++;
            Deadline deadline = Deadline.after(now(), 50 + mRandom.nextInt(3_000));
            IntentRequest request = new IntentRequest(key, "f-" + key, attempt, deadline);
            boolean[] decided = new boolean[1];
            agent.mLog
                    .begin(request)
                    .observeOn(mScheduler)
                    .filter(decision -> agent.mAlive)
                    .subscribe(
                            decision -> {
                                mReport.check(!decided[0], attempt + " got two decisions");
                                decided[0] = true;
                                handleDecision(agent, request, decision);
                            });
        }

        private void handleDecision(Agent agent, IntentRequest request, IntentDecision decision) {
            if (decision instanceof IntentDecision.Granted) {
                runCall(agent, request);
            } else if (decision instanceof IntentDecision.Recorded recorded) {
                mReport.check(
                        mRunCounts.getOrDefault(request.key(), 0) == 1,
                        request.key() + " has a recorded outcome but did not run exactly once");
                String body = new String(recorded.outcome().body(), StandardCharsets.UTF_8);
                mReport.check(
                        body.equals("ran " + request.key()),
                        request.key() + " got the outcome '" + body + "'");
            }
        }

        private void runCall(Agent agent, IntentRequest request) {
            if (request.deadline().isPast(now())) {
                agent.mLog.abandon(request);
                return;
            }
            int runs = mRunCounts.merge(request.key(), 1, Integer::sum);
            mReport.check(runs == 1, request.key() + " ran " + runs + " times");
            mScheduler.scheduleDirect(
                    () -> onCallEnded(agent, request),
                    1 + mRandom.nextInt(MAX_CALL_MILLIS),
                    TimeUnit.MILLISECONDS);
        }

        private void onCallEnded(Agent agent, IntentRequest request) {
            if (!agent.mAlive) {
                return;
            }
            if (mRandom.nextDouble() < mMix.responseLossProbability()) {
                agent.mLog.markOutcomeUnknown(request);
                return;
            }
            byte[] body = ("ran " + request.key()).getBytes(StandardCharsets.UTF_8);
            agent.mLog.recordOutcome(request, new RecordedOutcome(200, "text/plain", body, true));
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }
}

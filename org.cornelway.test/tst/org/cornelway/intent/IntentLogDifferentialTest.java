package org.cornelway.intent;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.invariant.Invariants;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/**
 * Checks that {@link ShardedIntentLog} makes the same decisions as {@link PerKeyIntentLog}, which
 * stores one value for each key, and that the sharded log limits its calls to the store.
 */
public final class IntentLogDifferentialTest {
    private static final int STEPS = 2_000;
    private static final int KEYS = 300;
    private static final long DEADLINE_MILLIS = 100_000_000;

    private final TestScheduler mScheduler = new TestScheduler();
    private int mStoreCalls;

    private InMemoryKeyValueStore newStore() {
        KeyValueState state = new KeyValueState(() -> mScheduler.now(TimeUnit.MILLISECONDS));
        return new InMemoryKeyValueStore(state, mScheduler, this::countCall);
    }

    private CallBehavior countCall() {
        mStoreCalls++;
        return CallBehavior.NO_FAULT;
    }

    /** Runs a fixed pseudo-random sequence of calls against a log and returns the decisions. */
    private List<String> runCalls(IntentLog log) {
        Random random = new Random(5);
        List<String> decisions = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            String key = "k" + random.nextInt(KEYS);
            String fingerprint = random.nextInt(20) == 0 ? "other" : "call";
            int outcomeChoice = random.nextInt(10);
            IntentRequest request =
                    new IntentRequest(key, fingerprint, "a" + step, new Deadline(DEADLINE_MILLIS));
            log.begin(request)
                    .subscribe(
                            decision -> {
                                decisions.add(key + " " + describe(decision));
                                if (decision instanceof IntentDecision.Granted) {
                                    endCall(log, request, outcomeChoice);
                                }
                            });
            // Four write intervals of 50 ms, within which the log writes the intent and the
            // outcome.
            mScheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        }
        return decisions;
    }

    private static String describe(IntentDecision decision) {
        if (decision instanceof IntentDecision.Recorded recorded) {
            return new String(recorded.outcome().body(), StandardCharsets.UTF_8);
        }
        return decision.getClass().getSimpleName();
    }

    /**
     * Ends a call.
     *
     * @param outcomeChoice 0 abandons the call, 1 marks its outcome as unknown, any other value
     *     records an outcome
     */
    private static void endCall(IntentLog log, IntentRequest request, int outcomeChoice) {
        if (outcomeChoice == 0) {
            log.abandon(request);
        } else if (outcomeChoice == 1) {
            log.markOutcomeUnknown(request);
        } else {
            byte[] body = request.attempt().getBytes(StandardCharsets.UTF_8);
            log.recordOutcome(request, new RecordedOutcome(200, "", body, true));
        }
    }

    @Test
    public void decidesLikePerKeyLog() {
        IntentSettings settings = new IntentSettings(3, 50, 7_200_000, 1_000);
        List<String> sharded =
                runCalls(
                        new ShardedIntentLog(
                                "s", newStore(), mScheduler, settings, Invariants.strict()));
        List<String> perKey = runCalls(new PerKeyIntentLog("s", newStore(), mScheduler, settings));
        assertThat(sharded).hasSize(STEPS).isEqualTo(perKey);
    }

    @Test
    public void writesAreBoundedUnderLoad() {
        IntentSettings settings = new IntentSettings(4, 50, 7_200_000, 1_000);
        IntentLog log =
                new ShardedIntentLog("s", newStore(), mScheduler, settings, Invariants.strict());
        mScheduler.advanceTimeBy(1, TimeUnit.HOURS);
        mStoreCalls = 0;
        int[] grantedCount = new int[1];
        for (int millis = 0; millis < 2_000; millis++) {
            IntentRequest request =
                    new IntentRequest(
                            "k" + millis, "f", "a" + millis, new Deadline(DEADLINE_MILLIS));
            log.begin(request)
                    .subscribe(
                            decision -> {
                                assertThat(decision).isInstanceOf(IntentDecision.Granted.class);
                                grantedCount[0]++;
                                endCall(log, request, 2);
                            });
            mScheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        }
        // Each of the 4 shards writes at most once per 50 ms for two seconds, and makes at most two
        // more calls, one of which reads the shard at the start.
        assertThat(mStoreCalls).isLessThanOrEqualTo(4 * 2_000 / 50 + 2 * 4);
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        assertThat(grantedCount[0]).isEqualTo(2_000);
    }
}

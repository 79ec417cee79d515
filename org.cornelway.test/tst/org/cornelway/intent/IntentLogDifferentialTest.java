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
import org.cornelway.standin.InMemoryKeyValueStore.CallFault;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/** The sharded log decides as the log of one value a key does, with far fewer writes. */
public final class IntentLogDifferentialTest {
    private static final int STEPS = 2_000;
    private static final int KEYS = 300;
    private static final long FAR_MILLIS = 100_000_000;

    private final TestScheduler mScheduler = new TestScheduler();
    private int mWrites;

    private InMemoryKeyValueStore store() {
        KeyValueState engine = new KeyValueState(() -> mScheduler.now(TimeUnit.MILLISECONDS));
        return new InMemoryKeyValueStore(engine, mScheduler, this::call);
    }

    private CallFault call() {
        mWrites++;
        return CallFault.NONE;
    }

    /** Plays a fixed sequence and writes down each decision. */
    private List<String> play(IntentLog log) {
        Random random = new Random(5);
        List<String> decisions = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            String key = "k" + random.nextInt(KEYS);
            String fingerprint = random.nextInt(20) == 0 ? "other" : "call";
            int ending = random.nextInt(10);
            IntentRequest request =
                    new IntentRequest(key, fingerprint, "a" + step, new Deadline(FAR_MILLIS));
            log.begin(request)
                    .subscribe(
                            decision -> {
                                decisions.add(key + " " + name(decision));
                                if (decision instanceof IntentDecision.Granted) {
                                    end(log, request, ending);
                                }
                            });
            mScheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        }
        return decisions;
    }

    private static String name(IntentDecision decision) {
        if (decision instanceof IntentDecision.Recorded recorded) {
            return new String(recorded.outcome().body(), StandardCharsets.UTF_8);
        }
        return decision.getClass().getSimpleName();
    }

    private static void end(IntentLog log, IntentRequest request, int ending) {
        if (ending == 0) {
            log.abandon(request);
        } else if (ending == 1) {
            log.markOutcomeUnknown(request);
        } else {
            byte[] body = request.attempt().getBytes(StandardCharsets.UTF_8);
            log.recordOutcome(request, new RecordedOutcome(200, "", body, true));
        }
    }

    @Test
    public void decidesAsOneValuePerKeyDoes() {
        IntentSettings settings = new IntentSettings(3, 50, 7_200_000, 1_000);
        List<String> sharded =
                play(new ShardedIntentLog("s", store(), mScheduler, settings, Invariants.strict()));
        List<String> perKey = play(new PerKeyIntentLog("s", store(), mScheduler, settings));
        assertThat(sharded).hasSize(STEPS).isEqualTo(perKey);
    }

    @Test
    public void writesAreBoundedWhateverTheLoad() {
        IntentSettings settings = new IntentSettings(4, 50, 7_200_000, 1_000);
        IntentLog log =
                new ShardedIntentLog("s", store(), mScheduler, settings, Invariants.strict());
        mScheduler.advanceTimeBy(1, TimeUnit.HOURS);
        mWrites = 0;
        int[] granted = new int[1];
        for (int millis = 0; millis < 2_000; millis++) {
            IntentRequest request =
                    new IntentRequest("k" + millis, "f", "a" + millis, new Deadline(FAR_MILLIS));
            log.begin(request)
                    .subscribe(
                            decision -> {
                                assertThat(decision).isInstanceOf(IntentDecision.Granted.class);
                                granted[0]++;
                                end(log, request, 2);
                            });
            mScheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        }
        // 4 shards, one write in 50 ms each, for two seconds, and one read each at the start.
        assertThat(mWrites).isLessThanOrEqualTo(4 * 2_000 / 50 + 2 * 4);
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        assertThat(granted[0]).isEqualTo(2_000);
    }
}

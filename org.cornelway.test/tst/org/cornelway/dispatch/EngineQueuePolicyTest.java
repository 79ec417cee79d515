package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.testng.annotations.Test;

/** Plays calls for a model that one engine holds and more callers want than it can serve. */
public class EngineQueuePolicyTest {
    private static final int SLOTS = 16;
    private static final long CALL_MILLIS = 2_000;
    private static final long PATIENCE_MILLIS = 2_000;

    /** Calls per second that the engine can serve. */
    private static final double CAPACITY_CALLS_PER_SECOND = SLOTS * 1_000.0 / CALL_MILLIS;

    private static final long PLAYED_MILLIS = 60_000;

    private static Candidate candidate(int requests) {
        ServerRecord server =
                new ServerRecord(
                        new ServerIncarnation("e", 1),
                        "s",
                        "127.0.0.1",
                        1,
                        "z",
                        SLOTS,
                        false,
                        1,
                        Map.of(),
                        Set.of(),
                        Set.of());
        return new Candidate(server, 0, requests, 1, 0, false, true);
    }

    private static OptionalLong excessiveWait(int... requests) {
        List<Candidate> candidates =
                Arrays.stream(requests).mapToObj(EngineQueuePolicyTest::candidate).toList();
        return EngineQueuePolicy.excessiveWaitMillis(candidates, CALL_MILLIS, PATIENCE_MILLIS);
    }

    @Test
    public void callIsSentWhileAnEngineHasFreeSlotsOrShortQueue() {
        assertThat(excessiveWait(SLOTS - 1)).isEmpty();
        assertThat(excessiveWait(SLOTS + 2)).isEmpty();
        assertThat(excessiveWait(4 * SLOTS, SLOTS)).isEmpty();
    }

    @Test
    public void callIsRefusedIfEveryQueueIsTooLong() {
        assertThat(excessiveWait(2 * SLOTS, 3 * SLOTS)).hasValue(CALL_MILLIS);
    }

    /** Counts of the calls of one play. */
    private record Outcome(int begun, int abandoned, int refused) {}

    /** Plays calls at an even rate; waiting callers leave when their patience ends. */
    private static Outcome play(double callsPerSecond, boolean hasPolicy) {
        PriorityQueue<Long> runningEnds = new PriorityQueue<>();
        Deque<Long> waitingSince = new ArrayDeque<>();
        int begun = 0;
        int abandoned = 0;
        int refused = 0;
        double nextCall = 0;
        for (long now = 0; now < PLAYED_MILLIS; now++) {
            while (!runningEnds.isEmpty() && runningEnds.peek() <= now) {
                runningEnds.poll();
            }
            // An engine learns that a caller has left only when it takes the call from its queue.
            while (runningEnds.size() < SLOTS && !waitingSince.isEmpty()) {
                boolean left = now - waitingSince.poll() > PATIENCE_MILLIS;
                abandoned += left ? 1 : 0;
                begun += left ? 0 : 1;
                if (!left) {
                    runningEnds.add(now + CALL_MILLIS);
                }
            }
            while (nextCall <= now) {
                nextCall += 1_000 / callsPerSecond;
                if (hasPolicy
                        && excessiveWait(runningEnds.size() + waitingSince.size()).isPresent()) {
                    refused++;
                } else {
                    waitingSince.add(now);
                }
            }
        }
        return new Outcome(begun, abandoned, refused);
    }

    @Test
    public void overloadedEngineServesItsCapacityAndNoCallerIsLost() {
        Outcome limited = play(3 * CAPACITY_CALLS_PER_SECOND, true);
        double capacity = CAPACITY_CALLS_PER_SECOND * PLAYED_MILLIS / 1_000;
        assertThat(limited.begun()).isGreaterThan((int) (0.95 * capacity));
        assertThat(limited.abandoned()).isZero();
        Outcome naive = play(3 * CAPACITY_CALLS_PER_SECOND, false);
        assertThat(naive.abandoned()).isGreaterThan(limited.begun());
    }

    @Test
    public void engineWithinItsCapacityRefusesNothing() {
        assertThat(play(0.9 * CAPACITY_CALLS_PER_SECOND, true).refused()).isZero();
    }
}

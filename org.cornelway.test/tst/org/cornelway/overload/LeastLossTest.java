package org.cornelway.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/** Tests single decisions, and properties of decisions about random calls and states. */
public class LeastLossTest {
    private static final long NOW = 1_000_000;
    private static final int TRIALS = 20_000;
    private static final int MAX_PRIORITY = 4;

    private final LeastLoss mPolicy = new LeastLoss();

    private static PendingCall call(
            int priority, long objectiveMillis, long endMillis, double tokens, boolean beyond) {
        return new PendingCall(
                "call",
                "service",
                "kind",
                priority,
                Optional.of(new PendingCall.Customer("c", 1, beyond)),
                tokens,
                true,
                NOW,
                Deadline.after(NOW, objectiveMillis),
                Deadline.after(NOW, endMillis),
                Optional.empty());
    }

    private static PendingCall randomCall(Random random, int number) {
        long age = random.nextInt(300);
        return new PendingCall(
                "call-" + number,
                "service",
                "kind-" + random.nextInt(3),
                random.nextInt(MAX_PRIORITY),
                Optional.of(new PendingCall.Customer("c", 1, random.nextInt(4) == 0)),
                100 + random.nextInt(3_000),
                random.nextBoolean(),
                NOW - age,
                Deadline.after(NOW - age, 100 + random.nextInt(8_000)),
                Deadline.after(NOW, 1 + random.nextInt(30_000)),
                random.nextInt(3) == 0
                        ? Optional.of(Deadline.after(NOW, random.nextInt(100)))
                        : Optional.empty());
    }

    private static ServiceState state(
            boolean hasRoom, long queueMillis, KindStanding standing, int maxWaiting) {
        return new ServiceState(
                hasRoom,
                queueMillis,
                Collections.nCopies(EnginePriority.LOWEST + 1, 1.0),
                Collections.nCopies(EnginePriority.LOWEST + 1, 0L),
                0,
                400,
                1_000,
                EnginePriority.LOWEST,
                standing,
                0,
                maxWaiting);
    }

    private static ServiceState randomState(Random random) {
        return state(
                random.nextInt(5) == 0,
                random.nextInt(5_000),
                new KindStanding(
                        random.nextInt(5) == 0, random.nextInt(5) == 0, random.nextInt(5) == 0),
                random.nextInt(4));
    }

    private static List<PendingCall> randomWaiting(Random random, int count) {
        List<PendingCall> waiting = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            waiting.add(randomCall(random, i));
        }
        return waiting;
    }

    /** Guards against any change for calls while a server has room. */
    @Test
    public void callIsSentAsInOrderOfArrivalWithRoom() {
        Random random = new Random(1);
        for (int i = 0; i < TRIALS; i++) {
            ServiceState drawn = randomState(random);
            ServiceState state = state(true, 0, drawn.standing(), drawn.maxWaiting());
            PendingCall call = randomCall(random, 100);
            List<PendingCall> waiting = randomWaiting(random, random.nextInt(4));
            assertThat(mPolicy.decide(call, state, waiting, NOW))
                    .isEqualTo(new ArrivalOrder().decide(call, state, waiting, NOW));
        }
    }

    /** Guards against refusing a call that an engine could begin within its objective. */
    @Test
    public void callThatBeginsInTimeIsSent() {
        ServiceState state = state(false, 700, KindStanding.NORMAL, 0);
        assertThat(mPolicy.decide(call(0, 1_000, 4_000, 1_000, false), state, List.of(), NOW))
                .isInstanceOf(Decision.Send.class);
        assertThat(mPolicy.decide(call(0, 600, 4_000, 1_000, false), state, List.of(), NOW))
                .isInstanceOf(Decision.Refuse.class);
    }

    /** Guards against holding or sending a call that its caller abandons before it begins. */
    @Test
    public void callThatCannotBeginBeforeItsEndIsRefusedAtOnce() {
        Random random = new Random(2);
        for (int i = 0; i < TRIALS; i++) {
            PendingCall call = randomCall(random, 100);
            long left = call.end().remainingMillis(NOW);
            ServiceState state =
                    state(false, left + 100, randomState(random).standing(), random.nextInt(3));
            Decision decision = mPolicy.decide(call, state, List.of(), NOW);
            assertThat(decision).isInstanceOf(Decision.Refuse.class);
        }
    }

    /** Guards against a Retry-After after which the call would be refused again. */
    @Test
    public void callIsSentAfterRetryAfterIfNoOthersArrive() {
        Random random = new Random(3);
        int refusals = 0;
        for (int i = 0; i < TRIALS; i++) {
            PendingCall call = randomCall(random, 100);
            ServiceState state = randomState(random);
            List<PendingCall> waiting = randomWaiting(random, state.maxWaiting());
            if (mPolicy.decide(call, state, waiting, NOW) instanceof Decision.Refuse refusal) {
                refusals++;
                long later = NOW + refusal.retryAfterMillis();
                long left = Math.max(0, state.queueMillis() - refusal.retryAfterMillis());
                PendingCall again = shifted(call, refusal.retryAfterMillis());
                ServiceState drained = state(false, left, state.standing(), 0);
                assertThat(mPolicy.decide(again, drained, List.of(), later))
                        .isInstanceOf(Decision.Send.class);
            }
        }
        assertThat(refusals).isGreaterThan(TRIALS / 10);
    }

    /** Returns the call as its caller makes it again, with all its times later. */
    private static PendingCall shifted(PendingCall call, long millis) {
        return new PendingCall(
                call.id(),
                call.service(),
                call.kind(),
                call.priority(),
                call.customer(),
                call.tokens(),
                call.isForModel(),
                call.arrivedMillis() + millis,
                new Deadline(call.objective().epochMillis() + millis),
                new Deadline(call.end().epochMillis() + millis),
                Optional.empty());
    }

    /** Guards against a call giving way to one whose refusal costs less per unit of work. */
    @Test
    public void callThatGivesWayHasTheLowestLoss() {
        Random random = new Random(4);
        int replaced = 0;
        for (int i = 0; i < TRIALS; i++) {
            ServiceState state = randomState(random);
            PendingCall call = randomCall(random, 100);
            List<PendingCall> waiting = randomWaiting(random, state.maxWaiting());
            if (mPolicy.decide(call, state, waiting, NOW) instanceof Decision.Wait wait
                    && wait.givesWay().isPresent()) {
                PendingCall refused = wait.givesWay().get();
                replaced++;
                assertThat(waiting).contains(refused);
                for (PendingCall kept : waiting) {
                    assertLossNotHigher(refused, kept);
                }
                assertLossNotHigher(refused, call);
            }
        }
        assertThat(replaced).isGreaterThan(TRIALS / 100);
    }

    private static void assertLossNotHigher(PendingCall refused, PendingCall kept) {
        if (refused.isBeyondShare() == kept.isBeyondShare()) {
            assertThat(CallLoss.ofRefusalPerWork(refused, 0, 1_000, NOW))
                    .isLessThanOrEqualTo(CallLoss.ofRefusalPerWork(kept, 0, 1_000, NOW));
        } else {
            assertThat(refused.isBeyondShare()).isTrue();
        }
    }

    /** Guards against a large or late urgent call being refused before a less urgent one. */
    @Test
    public void urgentCallsHaveHigherLossesPerWork() {
        Random random = new Random(5);
        for (int i = 0; i < TRIALS; i++) {
            PendingCall first = randomCall(random, 1);
            PendingCall second = randomCall(random, 2);
            if (first.priority() < second.priority()) {
                double delay = random.nextInt(20_000);
                assertThat(CallLoss.ofRefusalPerWork(first, delay, 1_000, NOW))
                        .isGreaterThan(CallLoss.ofRefusalPerWork(second, 0, 1_000, NOW));
                assertThat(CallLoss.ofDelay(first, delay, NOW)).isNotNegative();
            }
        }
    }

    /** Guards against calls that wait here for longer than load reports are late. */
    @Test
    public void waitHereIsShort() {
        Random random = new Random(6);
        for (int i = 0; i < TRIALS; i++) {
            PendingCall call = randomCall(random, 100);
            if (mPolicy.decide(call, randomState(random), List.of(), NOW)
                    instanceof Decision.Wait wait) {
                assertThat(wait.until().remainingMillis(NOW))
                        .isBetween(1L, LeastLoss.MAX_HELD_MILLIS);
            }
        }
    }

    /** Guards against calls that are mixed with those of the next priority at engines. */
    @Test
    public void enginePriorityStaysBetweenThoseOfAdjacentPriorities() {
        assertThat(EnginePriority.lowest(0, List.of(0, 1, 2))).isEqualTo(1);
        assertThat(EnginePriority.lowest(1, List.of(0, 1, 2))).isEqualTo(3);
        assertThat(EnginePriority.lowest(0, List.of(0, 3))).isEqualTo(5);
        assertThat(EnginePriority.lowest(1, List.of(1))).isEqualTo(EnginePriority.LOWEST);
        assertThat(EnginePriority.lowest(5, List.of(5, 6))).isEqualTo(EnginePriority.LOWEST);
        Random random = new Random(7);
        for (int i = 0; i < TRIALS; i++) {
            PendingCall call = randomCall(random, 100);
            if (mPolicy.decide(call, randomState(random), List.of(), NOW)
                    instanceof Decision.Send send) {
                assertThat(send.enginePriority())
                        .isBetween(EnginePriority.of(call.priority()), EnginePriority.LOWEST);
            }
        }
    }

    /** Guards against short calls waiting behind those that can wait, at a full engine. */
    @Test
    public void callWithTimeLeftIsServedAfterOthersOfItsPriority() {
        ServiceState state = state(false, 150, KindStanding.NORMAL, 0);
        assertThat(mPolicy.decide(call(1, 4_000, 16_000, 1_000, false), state, List.of(), NOW))
                .isEqualTo(new Decision.Send(3));
        assertThat(mPolicy.decide(call(1, 400, 2_000, 1_000, false), state, List.of(), NOW))
                .isEqualTo(new Decision.Send(2));
    }
}

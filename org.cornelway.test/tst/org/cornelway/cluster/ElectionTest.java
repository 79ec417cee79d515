package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Clock;
import org.cornelway.time.SuspendAwareClock;
import org.testng.annotations.Test;

/**
 * Tests that at most one process may send orders, in random runs with suspended processes, network
 * partitions and lost replies.
 */
public class ElectionTest {
    private static final int PROCESSES = 4;
    private static final int STEPS = 4_000;
    private static final long STEP_MILLIS = 20;
    private static final long REELECTION_MILLIS = 3_000;

    private final TestScheduler mTime = new TestScheduler();
    private final Clock mClock = () -> mTime.now(TimeUnit.MILLISECONDS);

    private ElectionCandidate newCandidate(KeyValueState store, int rank, Random random) {
        return new ElectionCandidate(mTime, store, rank, REELECTION_MILLIS, random);
    }

    private void injectFaults(ElectionCandidate each, Random random) {
        if (random.nextInt(400) == 0) {
            each.suspendUntil(mClock.nowMillis() + random.nextInt(6_000));
        }
        if (random.nextInt(400) == 0) {
            each.partitionUntil(mClock.nowMillis() + random.nextInt(6_000));
        }
    }

    @Test
    public void atMostOneMayOrderAndFencingNumbersRise() {
        for (long seed = 0; seed < 12; seed++) {
            Random random = new Random(seed);
            KeyValueState store = new KeyValueState(mClock);
            List<ElectionCandidate> all = new ArrayList<>();
            for (int i = 0; i < PROCESSES; i++) {
                all.add(newCandidate(store, i, random));
            }
            long highest = 0;
            int terms = 0;
            for (int step = 0; step < STEPS; step++) {
                all.forEach(each -> injectFaults(each, random));
                all.forEach(ElectionCandidate::step);
                mTime.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
                List<ElectionCandidate> holders =
                        all.stream().filter(ElectionCandidate::maySendOrders).toList();
                assertThat(holders.size()).as("seed %d step %d", seed, step).isLessThanOrEqualTo(1);
                for (ElectionCandidate holder : holders) {
                    long fencingNumber = holder.election().fencingNumber().orElseThrow();
                    assertThat(fencingNumber).as("seed " + seed).isGreaterThanOrEqualTo(highest);
                    terms += fencingNumber > highest ? 1 : 0;
                    highest = fencingNumber;
                }
            }
            assertThat(terms).as("seed " + seed).isGreaterThan(3);
        }
    }

    /**
     * Suspends a controller until after its lease has expired and another process is the
     * controller; returns whether the first process may still send orders after it resumes.
     */
    private boolean twoMaySendOrdersAfterSuspension(boolean clockStopsDuringSuspension) {
        KeyValueState store = new KeyValueState(mClock);
        Random random = new Random(1);
        ElectionCandidate first = newCandidate(store, 0, random);
        first.receiveAllReplies();
        first.stopClocksDuringSuspension(clockStopsDuringSuspension, clockStopsDuringSuspension);
        advance(100, first);
        assertThat(first.maySendOrders()).isTrue();
        first.suspendUntil(mClock.nowMillis() + 5_000);
        ElectionCandidate second = newCandidate(store, 1, random);
        second.receiveAllReplies();
        advance(250, first, second);
        assertThat(second.maySendOrders()).isTrue();
        return first.maySendOrders();
    }

    @Test
    public void controllerThatResumesAfterItsLeaseExpiredMayNotOrder() {
        assertThat(twoMaySendOrdersAfterSuspension(false)).isFalse();
    }

    /**
     * Shows why {@link SuspendAwareClock} must count suspensions: with a clock that does not, two
     * processes may send orders at the same time.
     */
    @Test
    public void clockThatStopsInSuspensionsLetsTwoOrder() {
        assertThat(twoMaySendOrdersAfterSuspension(true)).isTrue();
    }

    private void advance(int steps, ElectionCandidate... candidates) {
        for (int i = 0; i < steps; i++) {
            for (ElectionCandidate each : candidates) {
                each.step();
            }
            mTime.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against two holders after a restore that one of them has not noticed yet. */
    @Test
    public void controllerThatHasNotNoticedTheRestoreIsAloneUntilItsLeaseEnds() {
        KeyValueState store = new KeyValueState(mClock);
        Random random = new Random(1);
        ElectionCandidate unaware = newCandidate(store, 0, random);
        unaware.receiveAllReplies();
        advance(100, unaware);
        assertThat(unaware.maySendOrders()).isTrue();
        unaware.partitionUntil(Long.MAX_VALUE);
        // The copy has neither the controller key nor the lease.
        ElectionCandidate other = newCandidate(new KeyValueState(mClock), 1, random);
        other.receiveAllReplies();
        other.election().onStoreRestored();
        for (int i = 0; i < 400; i++) {
            advance(1, unaware, other);
            assertThat(unaware.maySendOrders() && other.maySendOrders()).isFalse();
        }
        assertThat(other.maySendOrders()).isTrue();
    }

    /** Guards against a term that goes on because the id of its lease was given out again. */
    @Test
    public void termEndsWithTheRestoreAlsoIfTheLeaseIsThereAgain() {
        KeyValueState store = new KeyValueState(mClock);
        ElectionCandidate only = newCandidate(store, 0, new Random(1));
        only.receiveAllReplies();
        advance(100, only);
        long before = only.election().fencingNumber().orElseThrow();
        only.election().onStoreRestored();
        only.lease().onStoreRestored();
        assertThat(only.election().fencingNumber()).isEmpty();
        advance(200, only);
        assertThat(only.election().fencingNumber().orElseThrow()).isGreaterThan(before);
    }
}

package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;
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

    private final TestScheduler mTime = new TestScheduler();
    private final Clock mClock = () -> mTime.now(TimeUnit.MILLISECONDS);

    /**
     * A process that takes part in the election. While it is suspended it does nothing; while it is
     * partitioned it cannot reach the store.
     */
    private final class Candidate implements Election.Listener {
        private final DocumentCache mCache =
                new DocumentCache(Invariants.strict(), new MetricRegistry());
        private final KeyValueState mStore;
        private final ProcessLease mLease;
        private final Election mElection;
        private final int mRank;
        private final Random mRandom;
        private long mSuspendedUntilMillis;
        private long mPartitionedUntilMillis;
        private boolean mLosesReplies = true;
        private long mSuspendedFromMillis;
        private boolean mClockStopsDuringSuspension;

        Candidate(KeyValueState store, int rank, Random random) {
            mStore = store;
            mRank = rank;
            mRandom = random;
            MetricRegistry metrics = new MetricRegistry();
            EventLog log = new EventLog(mClock, metrics);
            InMemoryKeyValueStore keyValueStore =
                    new InMemoryKeyValueStore(store, mTime, this::nextCallBehavior);
            StoreHealth health =
                    new StoreHealth(mClock, log, metrics, () -> {}, () -> {}, () -> {});
            SuspendAwareClock clock = new SuspendAwareClock(this::localMillis, this::localMillis);
            mLease = new ProcessLease(keyValueStore, mTime, mTime, clock, health, log);
            ClusterMember self = new ClusterMember("p" + rank, "h:" + rank, "r", "z", rank, 1);
            mElection = new Election(self, keyValueStore, mLease, mCache, mTime, log, this);
        }

        /**
         * Time on this process's clock. The clock stops while the process is suspended if {@code
         * mClockStopsDuringSuspension} is set.
         */
        private long localMillis() {
            long now = mClock.nowMillis();
            if (!mClockStopsDuringSuspension || mSuspendedUntilMillis == 0) {
                return now;
            }
            return now < mSuspendedUntilMillis
                    ? mSuspendedFromMillis
                    : now - (mSuspendedUntilMillis - mSuspendedFromMillis);
        }

        private CallBehavior nextCallBehavior() {
            boolean partitioned = mClock.nowMillis() < mPartitionedUntilMillis;
            boolean lost = mLosesReplies && mRandom.nextInt(20) == 0;
            return new CallBehavior(2 + mRandom.nextInt(30), partitioned, lost);
        }

        void step() {
            long now = mClock.nowMillis();
            if (now < mSuspendedUntilMillis) {
                return;
            }
            // The cache receives the controller key only in some steps; an empty value is a
            // tombstone.
            if (now >= mPartitionedUntilMillis && mRandom.nextInt(4) == 0) {
                mCache.offer(
                        mStore.get(ClusterKeys.CONTROLLER)
                                .orElse(
                                        new KeyValue(
                                                ClusterKeys.CONTROLLER,
                                                new byte[0],
                                                Math.max(1, mStore.revision()))));
            }
            mLease.step();
            mElection.step(true, mRank);
        }

        boolean maySendOrders() {
            return mClock.nowMillis() >= mSuspendedUntilMillis
                    && mElection.fencingNumber().isPresent();
        }

        @Override
        public void onTermBegan(long fencingNumber) {}

        @Override
        public void onTermEnded() {}
    }

    private void injectFaults(Candidate each, Random random) {
        if (random.nextInt(400) == 0) {
            each.mSuspendedUntilMillis = mClock.nowMillis() + random.nextInt(6_000);
        }
        if (random.nextInt(400) == 0) {
            each.mPartitionedUntilMillis = mClock.nowMillis() + random.nextInt(6_000);
        }
    }

    @Test
    public void atMostOneMayOrderAndFencingNumbersRise() {
        for (long seed = 0; seed < 12; seed++) {
            Random random = new Random(seed);
            KeyValueState store = new KeyValueState(mClock);
            List<Candidate> all = new ArrayList<>();
            for (int i = 0; i < PROCESSES; i++) {
                all.add(new Candidate(store, i, random));
            }
            long highest = 0;
            int terms = 0;
            for (int step = 0; step < STEPS; step++) {
                all.forEach(each -> injectFaults(each, random));
                all.forEach(Candidate::step);
                mTime.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
                List<Candidate> holders = all.stream().filter(Candidate::maySendOrders).toList();
                assertThat(holders.size()).as("seed %d step %d", seed, step).isLessThanOrEqualTo(1);
                for (Candidate holder : holders) {
                    long fencingNumber = holder.mElection.fencingNumber().orElseThrow();
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
        Candidate first = new Candidate(store, 0, random);
        first.mLosesReplies = false;
        first.mClockStopsDuringSuspension = clockStopsDuringSuspension;
        advance(100, first);
        assertThat(first.maySendOrders()).isTrue();
        first.mSuspendedFromMillis = mClock.nowMillis();
        first.mSuspendedUntilMillis = first.mSuspendedFromMillis + 5_000;
        Candidate second = new Candidate(store, 1, random);
        second.mLosesReplies = false;
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

    private void advance(int steps, Candidate... candidates) {
        for (int i = 0; i < steps; i++) {
            for (Candidate each : candidates) {
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
        Candidate unaware = new Candidate(store, 0, random);
        unaware.mLosesReplies = false;
        advance(100, unaware);
        assertThat(unaware.maySendOrders()).isTrue();
        unaware.mPartitionedUntilMillis = Long.MAX_VALUE;
        // The copy has neither the controller key nor the lease.
        Candidate other = new Candidate(new KeyValueState(mClock), 1, random);
        other.mLosesReplies = false;
        other.mElection.onStoreRestored();
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
        Candidate only = new Candidate(store, 0, new Random(1));
        only.mLosesReplies = false;
        advance(100, only);
        long before = only.mElection.fencingNumber().orElseThrow();
        only.mElection.onStoreRestored();
        only.mLease.onStoreRestored();
        assertThat(only.mElection.fencingNumber()).isEmpty();
        advance(200, only);
        assertThat(only.mElection.fencingNumber().orElseThrow()).isGreaterThan(before);
    }
}

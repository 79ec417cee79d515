package org.cornelway.cluster;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
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

/**
 * A process that takes part in the election, in virtual time. While it is suspended it does
 * nothing; while it is partitioned it cannot reach the store. Confined to one thread.
 */
final class ElectionCandidate implements Election.Listener {
    private final TestScheduler mTime;
    private final Clock mClock;
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
    private boolean mMonotonicClockStops;
    private boolean mWallClockStops;
    private boolean mEnded;

    /**
     * @param rank its position among the candidates; the candidates of one rank are processes of
     *     one instance, one after the other
     */
    ElectionCandidate(
            TestScheduler time,
            KeyValueState store,
            int rank,
            long reelectionMillis,
            Random random) {
        mTime = time;
        mClock = () -> time.now(TimeUnit.MILLISECONDS);
        mStore = store;
        mRank = rank;
        mRandom = random;
        MetricRegistry metrics = new MetricRegistry();
        EventLog log = new EventLog(mClock, metrics);
        InMemoryKeyValueStore keyValueStore =
                new InMemoryKeyValueStore(store, mTime, this::nextCallBehavior);
        StoreHealth health = new StoreHealth(mClock, log, metrics, () -> {}, () -> {}, () -> {});
        SuspendAwareClock clock = new SuspendAwareClock(this::monotonicMillis, this::wallMillis);
        mLease = new ProcessLease(keyValueStore, mTime, mTime, clock, health, log);
        ClusterMember self = new ClusterMember(id(), "h:" + rank, "r", "z", mClock.nowMillis(), 1);
        mElection =
                new Election(
                        self,
                        reelectionMillis,
                        keyValueStore,
                        mLease,
                        mCache,
                        mTime,
                        this::monotonicMillis,
                        log,
                        this);
    }

    /** The instance id. */
    String id() {
        return "p" + mRank;
    }

    Election election() {
        return mElection;
    }

    ProcessLease lease() {
        return mLease;
    }

    /** Suspends the process from now until a time. */
    void suspendUntil(long millis) {
        mSuspendedFromMillis = mClock.nowMillis();
        mSuspendedUntilMillis = millis;
    }

    /** Keeps the process from reaching the store until a time. */
    void partitionUntil(long millis) {
        mPartitionedUntilMillis = millis;
    }

    /** Lets the store lose no reply to the process any more. */
    void receiveAllReplies() {
        mLosesReplies = false;
    }

    /** Lets clocks of this process stop while it is suspended. */
    void stopClocksDuringSuspension(boolean monotonic, boolean wall) {
        mMonotonicClockStops = monotonic;
        mWallClockStops = wall;
    }

    /** Ends the process without notice; its calls reach the store no more. */
    void kill() {
        mEnded = true;
    }

    private long monotonicMillis() {
        return localMillis(mMonotonicClockStops);
    }

    private long wallMillis() {
        return localMillis(mWallClockStops);
    }

    private long localMillis(boolean stops) {
        long now = mClock.nowMillis();
        if (!stops || mSuspendedUntilMillis == 0) {
            return now;
        }
        return now < mSuspendedUntilMillis
                ? mSuspendedFromMillis
                : now - (mSuspendedUntilMillis - mSuspendedFromMillis);
    }

    private CallBehavior nextCallBehavior() {
        boolean partitioned = mEnded || mClock.nowMillis() < mPartitionedUntilMillis;
        boolean lost = mLosesReplies && mRandom.nextInt(20) == 0;
        return new CallBehavior(2 + mRandom.nextInt(30), partitioned, lost);
    }

    void step() {
        long now = mClock.nowMillis();
        if (mEnded || now < mSuspendedUntilMillis) {
            return;
        }
        // The cache receives the controller key only in some steps; an empty value is a tombstone.
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
        return !mEnded
                && mClock.nowMillis() >= mSuspendedUntilMillis
                && mElection.fencingNumber().isPresent();
    }

    @Override
    public void onTermBegan(long fencingNumber) {}

    @Override
    public void onTermEnded() {}
}

package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.standin.KeyValueState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests in virtual time that no two processes take turns as controller, and how soon there is a
 * controller again.
 */
public class ControllerTurnsTest {
    private static final int PROCESSES = 3;
    private static final long STEP_MILLIS = 20;
    private static final long REELECTION_MILLIS = 3_000;

    /** Time without a renewal after which a lease ends, as the platform keeps it. */
    private static final long LEASE_MILLIS = 2_000;

    /** Time in which a candidate of rank 0 claims a free key, all calls and a retry included. */
    private static final long CLAIM_MILLIS = 700;

    private static final int RANDOM_STEPS = 6_000;
    private static final int SEEDS = 20;

    private TestScheduler mTime;
    private KeyValueState mStore;
    private Random mRandom;
    private OrderTurns mTurns;
    private boolean mLosesReplies;
    private final List<ElectionCandidate> mCandidates = new ArrayList<>();

    /** When each candidate starts again; 0 if it runs. */
    private final long[] mRestartMillis = new long[PROCESSES];

    /** Starts the fleet; the first candidate becomes the controller. */
    @BeforeMethod
    public void startCandidates() {
        start(1, false);
        assertThat(controller()).isEqualTo(0);
    }

    /** Starts a new fleet. */
    private void start(long seed, boolean losesReplies) {
        mTime = new TestScheduler();
        mStore = new KeyValueState(this::now);
        mRandom = new Random(seed);
        mTurns = new OrderTurns(REELECTION_MILLIS);
        mLosesReplies = losesReplies;
        mCandidates.clear();
        for (int i = 0; i < PROCESSES; i++) {
            mCandidates.add(newCandidate(i));
            mRestartMillis[i] = 0;
            pass(300);
        }
        pass(5_000);
    }

    private long now() {
        return mTime.now(TimeUnit.MILLISECONDS);
    }

    private ElectionCandidate newCandidate(int rank) {
        ElectionCandidate candidate =
                new ElectionCandidate(mTime, mStore, rank, REELECTION_MILLIS, mRandom);
        if (!mLosesReplies) {
            candidate.receiveAllReplies();
        }
        return candidate;
    }

    /** Returns the rank of the process that may send orders, or -1. */
    private int controller() {
        for (int i = 0; i < mCandidates.size(); i++) {
            if (mCandidates.get(i).maySendOrders()) {
                return i;
            }
        }
        return -1;
    }

    /** Lets time pass, in which the controller gives orders all the time. */
    private void pass(long millis) {
        for (long end = now() + millis; now() < end; ) {
            step("");
        }
    }

    private void step(String what) {
        mCandidates.forEach(ElectionCandidate::step);
        mTime.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        for (ElectionCandidate each : mCandidates) {
            if (each.maySendOrders()) {
                assertThat(mTurns.record(each.id(), now())).as(what).isEmpty();
            }
        }
    }

    /** Returns the time until a process may send orders. */
    private long millisUntilController() {
        long start = now();
        while (controller() < 0) {
            assertThat(now() - start).isLessThan(10_000);
            pass(STEP_MILLIS);
        }
        return now() - start;
    }

    private void restart(int rank) {
        mCandidates.get(rank).kill();
        mCandidates.set(rank, newCandidate(rank));
    }

    /**
     * Keeps the controller from the store until its lease has ended, and lets it get another lease;
     * returns its successor.
     */
    private int partitionController() {
        int first = controller();
        mCandidates.get(first).partitionUntil(now() + LEASE_MILLIS + 200);
        pass(LEASE_MILLIS + 200);
        while (!mCandidates.get(first).lease().isHeld() || controller() < 0) {
            pass(STEP_MILLIS);
        }
        assertThat(controller()).isNotEqualTo(first);
        return controller();
    }

    /**
     * Guards against a controller that was cut off from the service and follows its successor, just
     * stopped as planned, within the re-election interval.
     */
    @Test
    public void controllerThatLostItsLeaseDoesNotFollowItsStoppedSuccessorAtOnce() {
        int successor = partitionController();
        mCandidates.get(successor).election().resign();
        pass(REELECTION_MILLIS);
    }

    /** Guards against the same without a stop: the successor loses its lease too. */
    @Test
    public void controllerThatLostItsLeaseDoesNotFollowSuccessorThatLosesItAtOnce() {
        int successor = partitionController();
        mCandidates.get(successor).partitionUntil(now() + LEASE_MILLIS + 500);
        pass(2 * REELECTION_MILLIS);
        assertThat(controller()).isNotEqualTo(-1);
    }

    /** Guards against the same after a suspension, also if the monotonic clock stopped in it. */
    @Test
    public void controllerThatWasSuspendedDoesNotFollowItsStoppedSuccessorAtOnce() {
        for (boolean clockStops : new boolean[] {false, true}) {
            start(1, false);
            mCandidates.get(0).stopClocksDuringSuspension(clockStops, false);
            mCandidates.get(0).suspendUntil(now() + LEASE_MILLIS + 400);
            pass(LEASE_MILLIS + 400);
            mCandidates.get(controller()).election().resign();
            pass(REELECTION_MILLIS);
        }
    }

    /** Guards against a restarted process that knows nothing of the orders of the one before. */
    @Test
    public void restartedProcessDoesNotFollowTheSuccessorOfItsInstanceAtOnce() {
        mCandidates.get(0).election().resign();
        pass(CLAIM_MILLIS);
        int successor = controller();
        assertThat(successor).isPositive();
        restart(0);
        pass(CLAIM_MILLIS);
        mCandidates.get(successor).election().resign();
        pass(REELECTION_MILLIS);
    }

    /** Guards against a needless wait: nobody else has given orders since. */
    @Test
    public void controllerWithoutSuccessorIsElectedAgainAtOnce() {
        mCandidates.get(1).kill();
        mCandidates.get(2).kill();
        mCandidates.get(0).partitionUntil(now() + LEASE_MILLIS + 500);
        pass(LEASE_MILLIS + 500);
        assertThat(controller()).isEqualTo(-1);
        assertThat(millisUntilController()).isLessThanOrEqualTo(CLAIM_MILLIS);
        assertThat(controller()).isEqualTo(0);
    }

    /** Guards against a needless wait after all processes have ended at once. */
    @Test
    public void controllerIsElectedAgainAtOnceAfterAllWereKilled() {
        for (int i = 0; i < PROCESSES; i++) {
            restart(i);
        }
        assertThat(millisUntilController()).isLessThanOrEqualTo(CLAIM_MILLIS);
        assertThat(controller()).isEqualTo(0);
    }

    /** Guards against a gap: another process is elected while the first one has to wait. */
    @Test
    public void anotherProcessIsElectedInPlaceOfOneThatMustWait() {
        int successor = partitionController();
        mCandidates.get(successor).election().resign();
        assertThat(millisUntilController()).isLessThanOrEqualTo(CLAIM_MILLIS);
        assertThat(controller()).isNotIn(0, successor);
    }

    /** Guards against a process that waits for good: the last one of the fleet is elected. */
    @Test
    public void lastProcessIsElectedOnceTheIntervalIsOver() {
        int successor = partitionController();
        for (int i = 1; i < PROCESSES; i++) {
            mCandidates.get(i).election().resign();
        }
        assertThat(successor).isPositive();
        assertThat(millisUntilController()).isLessThanOrEqualTo(REELECTION_MILLIS + CLAIM_MILLIS);
        assertThat(controller()).isEqualTo(0);
    }

    private void disturb() {
        int rank = mRandom.nextInt(PROCESSES);
        if (mRestartMillis[rank] > 0) {
            return;
        }
        ElectionCandidate candidate = mCandidates.get(rank);
        long now = now();
        switch (mRandom.nextInt(4)) {
            case 0 -> candidate.suspendUntil(now + mRandom.nextInt(6_000));
            case 1 -> candidate.partitionUntil(now + mRandom.nextInt(6_000));
            case 2 -> {
                candidate.kill();
                mRestartMillis[rank] = now + 200 + mRandom.nextInt(3_000);
            }
            default -> {
                candidate.election().resign();
                mRestartMillis[rank] = now + 200 + mRandom.nextInt(3_000);
            }
        }
    }

    private void restartDue() {
        for (int i = 0; i < PROCESSES; i++) {
            if (mRestartMillis[i] > 0 && now() >= mRestartMillis[i]) {
                mRestartMillis[i] = 0;
                restart(i);
            }
        }
    }

    /** Guards against turns after any of these faults, in series and overlapping. */
    @Test
    public void noTwoProcessesTakeTurnsUnderRandomFaults() {
        for (long seed = 0; seed < SEEDS; seed++) {
            start(seed, true);
            for (int step = 0; step < RANDOM_STEPS; step++) {
                if (mRandom.nextInt(60) == 0) {
                    disturb();
                }
                restartDue();
                step("seed " + seed + ", step " + step);
            }
        }
    }
}

package org.cornelway.supervisor;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.supervisor.Heartbeat.State;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what follows from a count that a thread does or does not increase. */
public class HeartbeatTest {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long HOUR_MILLIS = 3_600_000;

    private long mNowMillis;
    private long mCount;
    private Heartbeat mHeartbeat;

    @BeforeMethod
    public void setUp() {
        mNowMillis = START_MILLIS;
        mCount = 7;
        mHeartbeat = new Heartbeat(mNowMillis, mCount);
    }

    /** Lets the process run without the thread; returns the state at the end. */
    private State runWithoutThread(long millis) {
        State state = State.GOES_ON;
        for (long i = 0; i < millis; i += Heartbeat.CHECK_INTERVAL_MILLIS) {
            mNowMillis += Heartbeat.CHECK_INTERVAL_MILLIS;
            state = mHeartbeat.check(mNowMillis, mCount);
        }
        return state;
    }

    @Test
    public void threadThatCountsGoesOn() {
        for (int i = 0; i < 1_000; i++) {
            mNowMillis += Heartbeat.CHECK_INTERVAL_MILLIS;
            assertThat(mHeartbeat.check(mNowMillis, ++mCount)).isEqualTo(State.GOES_ON);
        }
    }

    @Test
    public void threadThatDoesNotCountIsStalledAndAtLastEnded() {
        long interval = Heartbeat.CHECK_INTERVAL_MILLIS;
        assertThat(runWithoutThread(Heartbeat.STALLED_MILLIS - interval)).isEqualTo(State.GOES_ON);
        assertThat(runWithoutThread(interval)).isEqualTo(State.STALLED);
        long rest = Heartbeat.ENDED_MILLIS - Heartbeat.STALLED_MILLIS;
        assertThat(runWithoutThread(rest - interval)).isEqualTo(State.STALLED);
        assertThat(runWithoutThread(interval)).isEqualTo(State.ENDED);
    }

    @Test
    public void stalledThreadThatCountsAgainGoesOn() {
        assertThat(runWithoutThread(Heartbeat.ENDED_MILLIS - 1_000)).isEqualTo(State.STALLED);
        mCount++;
        assertThat(runWithoutThread(Heartbeat.STALLED_MILLIS - 1_000)).isEqualTo(State.GOES_ON);
    }

    /** Guards against a process that ends itself because it was frozen. */
    @Test
    public void timeForWhichTheProcessWasFrozenDoesNotCount() {
        runWithoutThread(2_000);
        mNowMillis += HOUR_MILLIS;
        assertThat(mHeartbeat.check(mNowMillis, mCount)).isEqualTo(State.GOES_ON);
        // The checks that are overdue then run one after the other.
        for (int i = 0; i < HOUR_MILLIS / Heartbeat.CHECK_INTERVAL_MILLIS; i++) {
            assertThat(mHeartbeat.check(mNowMillis, mCount)).isEqualTo(State.GOES_ON);
        }
    }

    @Test
    public void clockThatIsSetBackDoesNotCount() {
        mNowMillis -= HOUR_MILLIS;
        assertThat(mHeartbeat.check(mNowMillis, mCount)).isEqualTo(State.GOES_ON);
        assertThat(runWithoutThread(Heartbeat.STALLED_MILLIS)).isEqualTo(State.STALLED);
    }
}

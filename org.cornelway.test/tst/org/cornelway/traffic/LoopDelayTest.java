package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.time.SuspendAwareClock;
import org.testng.annotations.Test;

/** Tests the measurement of how late the traffic thread is. */
public class LoopDelayTest {
    private static final long INTERVAL_MILLIS = 50;

    private final AtomicLong mMonotonicMillis = new AtomicLong();
    private final AtomicLong mWallMillis = new AtomicLong();

    private LoopDelay newDelay() {
        return new LoopDelay(
                new SuspendAwareClock(mMonotonicMillis::get, mWallMillis::get), INTERVAL_MILLIS);
    }

    private void advance(long millis) {
        mMonotonicMillis.addAndGet(millis);
        mWallMillis.addAndGet(millis);
    }

    @Test
    public void threadThatTicksInTimeIsNotLate() {
        LoopDelay delay = newDelay();
        for (int i = 0; i < 10; i++) {
            advance(INTERVAL_MILLIS);
            assertThat(delay.tick()).isZero();
            assertThat(delay.isLate()).isFalse();
        }
    }

    /** Guards against calls of which the start of the process takes a part of the deadline. */
    @Test
    public void timeBeforeTheTicksAreScheduledIsNoDelay() {
        LoopDelay delay = newDelay();
        advance(2_600);
        delay.start();
        advance(INTERVAL_MILLIS);
        assertThat(delay.tick()).isZero();
        assertThat(delay.millis()).isZero();
    }

    @Test
    public void overdueTickCountsBeforeItRuns() {
        LoopDelay delay = newDelay();
        advance(1_050);
        assertThat(delay.millis()).isEqualTo(1_000);
        assertThat(delay.isLate()).isTrue();
    }

    @Test
    public void overdueTicksThatRunOneAfterTheOtherDoNotHideTheDelay() {
        LoopDelay delay = newDelay();
        advance(1_050);
        assertThat(delay.tick()).isEqualTo(1_000);
        for (int i = 0; i < 20; i++) {
            assertThat(delay.tick()).isZero();
            assertThat(delay.millis()).isEqualTo(1_000);
            assertThat(delay.isLate()).isTrue();
        }
    }

    @Test
    public void shortDelayCountsUntilTheNextTick() {
        LoopDelay delay = newDelay();
        advance(INTERVAL_MILLIS + 40);
        delay.tick();
        assertThat(delay.millis()).isEqualTo(40);
        advance(INTERVAL_MILLIS);
        delay.tick();
        assertThat(delay.millis()).isZero();
    }

    @Test
    public void delayIsForgottenOnceTheThreadIsInTimeAgain() {
        LoopDelay delay = newDelay();
        advance(1_050);
        delay.tick();
        for (int i = 0; i < 6; i++) {
            advance(INTERVAL_MILLIS);
            delay.tick();
        }
        assertThat(delay.millis()).isZero();
    }

    @Test
    public void suspensionThatOnlyTheWallClockCountsIsMeasured() {
        LoopDelay delay = newDelay();
        mWallMillis.addAndGet(3_000);
        assertThat(delay.millis()).isEqualTo(2_950);
    }
}

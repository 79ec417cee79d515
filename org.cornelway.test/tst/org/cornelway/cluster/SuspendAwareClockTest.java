package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests elapsed time over suspensions and adjustments of the wall clock. */
public class SuspendAwareClockTest {
    private final AtomicLong mMonotonic = new AtomicLong(5_000);
    private final AtomicLong mWall = new AtomicLong(1_000_000);
    private final SuspendAwareClock mClock = new SuspendAwareClock(mMonotonic::get, mWall::get);

    @Test
    public void countsSuspensionAndIgnoresBackwardJumps() {
        SuspendAwareClock.Mark mark = mClock.mark();
        mMonotonic.addAndGet(10);
        mWall.addAndGet(4_000);
        assertThat(mClock.elapsedMillisSince(mark)).isEqualTo(4_000);
        mWall.addAndGet(-9_000);
        assertThat(mClock.elapsedMillisSince(mark)).isEqualTo(10);
    }
}

package org.cornelway.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests the elapsed time across a suspension of the host and a backward clock adjustment. */
public class SuspendAwareClockTest {
    private final AtomicLong mMonotonicMillis = new AtomicLong(5_000);
    private final AtomicLong mWallMillis = new AtomicLong(1_000_000);
    private final SuspendAwareClock mClock =
            new SuspendAwareClock(mMonotonicMillis::get, mWallMillis::get);

    @Test
    public void countsSuspensionAndIgnoresBackwardJumps() {
        SuspendAwareClock.Mark mark = mClock.mark();
        // The host was suspended, so the wall clock has advanced further than the monotonic clock.
        mMonotonicMillis.addAndGet(10);
        mWallMillis.addAndGet(4_000);
        assertThat(mClock.elapsedMillisSince(mark)).isEqualTo(4_000);
        mWallMillis.addAndGet(-9_000);
        assertThat(mClock.elapsedMillisSince(mark)).isEqualTo(10);
    }
}

package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.eventlog.EventLog;
import org.testng.annotations.Test;

/** Cut connections are no outage. */
public class StoreHealthTest {
    private final AtomicLong mNow = new AtomicLong(1_000);
    private final AtomicInteger mAway = new AtomicInteger();
    private final AtomicInteger mBack = new AtomicInteger();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final StoreHealth mHealth =
            new StoreHealth(
                    mNow::get,
                    new EventLog(mNow::get, mMetrics),
                    mMetrics,
                    mAway::incrementAndGet,
                    mBack::incrementAndGet);

    private void fail() {
        mHealth.recordFailure("call", new IOException("reset"));
    }

    @Test
    public void connectionsCutTogetherAreNoOutageButLastingFailureIs() {
        fail();
        fail();
        fail();
        assertThat(mHealth.isUnavailable()).isFalse();
        mHealth.recordSuccess();
        fail();
        mNow.addAndGet(400);
        fail();
        assertThat(mHealth.isUnavailable()).isTrue();
        mHealth.recordSuccess();
        assertThat(mHealth.isUnavailable()).isFalse();
        assertThat(mAway.get()).isEqualTo(1);
        assertThat(mBack.get()).isEqualTo(1);
    }
}

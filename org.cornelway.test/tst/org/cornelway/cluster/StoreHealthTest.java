package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.eventlog.EventLog;
import org.testng.annotations.Test;

/**
 * Tests that lasting failures count as an outage of the key-value service, and that failures of
 * connections that are cut at the same time do not.
 */
public class StoreHealthTest {
    private final AtomicLong mNow = new AtomicLong(1_000);
    private final AtomicInteger mUnavailableCalls = new AtomicInteger();
    private final AtomicInteger mAvailableCalls = new AtomicInteger();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final StoreHealth mHealth =
            new StoreHealth(
                    mNow::get,
                    new EventLog(mNow::get, mMetrics),
                    mMetrics,
                    mUnavailableCalls::incrementAndGet,
                    mAvailableCalls::incrementAndGet);

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
        assertThat(mUnavailableCalls.get()).isEqualTo(1);
        assertThat(mAvailableCalls.get()).isEqualTo(1);
    }
}

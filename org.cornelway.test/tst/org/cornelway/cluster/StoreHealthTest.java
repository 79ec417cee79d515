package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.eventlog.EventLog;
import org.testng.annotations.Test;

/**
 * Tests that failures that continue for some time count as an outage of the key-value service, and
 * that simultaneous failures, as when several connections are cut at once, do not.
 */
public class StoreHealthTest {
    private final AtomicLong mNow = new AtomicLong(1_000);
    private final AtomicInteger mUnavailableNotifications = new AtomicInteger();
    private final AtomicInteger mAvailableNotifications = new AtomicInteger();
    private final AtomicInteger mRecoveredNotifications = new AtomicInteger();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final StoreHealth mHealth =
            new StoreHealth(
                    mNow::get,
                    new EventLog(mNow::get, mMetrics),
                    mMetrics,
                    mUnavailableNotifications::incrementAndGet,
                    mAvailableNotifications::incrementAndGet,
                    mRecoveredNotifications::incrementAndGet);

    private void fail() {
        mHealth.recordFailure("call", new IOException("reset"));
    }

    @Test
    public void simultaneousFailuresAreNoOutageButLastingFailuresAre() {
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
        assertThat(mUnavailableNotifications.get()).isEqualTo(1);
        assertThat(mAvailableNotifications.get()).isEqualTo(1);
    }

    @Test
    public void firstSuccessAfterAnyFailureIsReportedOnce() {
        mHealth.recordSuccess();
        assertThat(mRecoveredNotifications.get()).isZero();
        fail();
        mHealth.recordSuccess();
        mHealth.recordSuccess();
        assertThat(mRecoveredNotifications.get()).isEqualTo(1);
    }
}

package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.lang.reflect.Proxy;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;
import org.cornelway.standin.KeyValueState;
import org.cornelway.time.Clock;
import org.cornelway.time.SuspendAwareClock;
import org.testng.annotations.Test;

/** Tests that a busy control thread does not end the lease, and that a suspension does. */
public class ProcessLeaseTest {
    /** Longer than the TTL of the lease. */
    private static final long LONG_MILLIS = 3_000;

    private final TestScheduler mLeaseTime = new TestScheduler();

    /** Scheduler of a control thread that is busy: its tasks do not run. */
    private final TestScheduler mBusyControl = new TestScheduler();

    private final Clock mClock = () -> mLeaseTime.now(TimeUnit.MILLISECONDS);
    private long mSuspendedMillis;

    private ProcessLease startLease() {
        return startLease(store -> store);
    }

    private ProcessLease startLease(UnaryOperator<KeyValueStore> wrapper) {
        MetricRegistry metrics = new MetricRegistry();
        EventLog log = new EventLog(mClock, metrics);
        ProcessLease lease =
                new ProcessLease(
                        wrapper.apply(
                                new InMemoryKeyValueStore(
                                        new KeyValueState(mClock),
                                        mLeaseTime,
                                        () ->
                                                new CallBehavior(
                                                        new Random(1).nextInt(5), false, false))),
                        mLeaseTime,
                        mBusyControl,
                        new SuspendAwareClock(
                                mClock::nowMillis, () -> mClock.nowMillis() + mSuspendedMillis),
                        new StoreHealth(mClock, log, metrics, () -> {}, () -> {}, () -> {}),
                        log);
        lease.start().blockingAwait();
        mLeaseTime.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        return lease;
    }

    @Test
    public void leaseIsRenewedWhileTheControlThreadIsBusy() {
        ProcessLease lease = startLease();
        assertThat(lease.isHeld()).isTrue();
        long id = lease.id().orElseThrow();
        mLeaseTime.advanceTimeBy(LONG_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(lease.id()).hasValue(id);
    }

    /** Returns a store whose first renewals throw an exception instead of failing. */
    private static KeyValueStore failingRenewals(KeyValueStore store, AtomicInteger renewals) {
        return (KeyValueStore)
                Proxy.newProxyInstance(
                        ProcessLeaseTest.class.getClassLoader(),
                        new Class<?>[] {KeyValueStore.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("keepAlive")
                                    && renewals.getAndIncrement() < 2) {
                                throw new IllegalStateException("no renewal");
                            }
                            return method.invoke(store, arguments);
                        });
    }

    /** Guards against a lease that is never renewed again after one exception. */
    @Test
    public void leaseIsRenewedAfterAnExceptionOfTheStore() {
        AtomicInteger renewals = new AtomicInteger();
        ProcessLease lease = startLease(store -> failingRenewals(store, renewals));
        mLeaseTime.advanceTimeBy(LONG_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(renewals.get()).isGreaterThan(3);
        assertThat(lease.isHeld()).isTrue();
    }

    @Test
    public void leaseIsNotHeldAfterSuspension() {
        ProcessLease lease = startLease();
        mSuspendedMillis = LONG_MILLIS;
        assertThat(lease.isHeld()).isFalse();
        assertThat(lease.id()).isEmpty();
    }

    @Test
    public void releasedLeaseIsNotRequestedAgain() {
        ProcessLease lease = startLease();
        lease.release().subscribe();
        mLeaseTime.advanceTimeBy(LONG_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(lease.isHeld()).isFalse();
    }
}

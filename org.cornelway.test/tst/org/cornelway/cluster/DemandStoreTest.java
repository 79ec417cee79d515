package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.DemandTable;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;
import org.cornelway.standin.KeyValueState;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelUsage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a controller stores the request rates and that the next one restores them. */
public class DemandStoreTest {
    private static final Map<String, ModelRate> RATES = Map.of("m", new ModelRate(8, 300));

    private TestScheduler mScheduler;
    private KeyValueState mStoreState;

    /** One process with its demand store. */
    private final class Process {
        private final DemandTable mDemand = new DemandTable();
        private final DemandStore mDemandStore;

        Process(CallBehavior fault) {
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(mStoreState, mScheduler, () -> fault);
            EventLog log =
                    new EventLog(() -> mScheduler.now(TimeUnit.MILLISECONDS), new MetricRegistry());
            mDemandStore = new DemandStore(store, mDemand, mScheduler, log);
        }

        /** Reports demand and calls {@link DemandStore#writeIfDue} every 100 ms. */
        void runFor(long millis) {
            for (long i = 0; i < millis; i += 100) {
                long now = mScheduler.now(TimeUnit.MILLISECONDS);
                mDemand.recordReport("self", new ModelUsage.Snapshot(List.of(), RATES), now);
                mDemandStore.writeIfDue();
                mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            }
        }
    }

    @BeforeMethod
    public void setUp() {
        mScheduler = new TestScheduler();
        mStoreState = new KeyValueState(() -> mScheduler.now(TimeUnit.MILLISECONDS));
    }

    @Test
    public void nextControllerRestoresRates() {
        new Process(CallBehavior.NO_FAULT).runFor(10_000);
        Process next = new Process(CallBehavior.NO_FAULT);
        next.mDemandStore.restore();
        mScheduler.advanceTimeBy(2 * CallBehavior.NO_FAULT.delayMillis(), TimeUnit.MILLISECONDS);
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        assertThat(next.mDemand.rate("m", now)).isEqualTo(RATES.get("m"));
    }

    @Test
    public void storesNothingWhenRequestsAreLostAndWritesPeriodicallyOtherwise() {
        Process lossy = new Process(new CallBehavior(1, true, false));
        lossy.runFor(20_000);
        assertThat(mStoreState.get(ClusterKeys.DEMAND)).isEmpty();
        new Process(CallBehavior.NO_FAULT).runFor(20_000);
        // One write every 4 s.
        assertThat(mStoreState.revision()).isBetween(4L, 6L);
    }

    @Test
    public void malformedValueRestoresNoRates() {
        Process process = new Process(CallBehavior.NO_FAULT);
        mStoreState.compareAndSwap(ClusterKeys.DEMAND, 0, new byte[] {1, 2}, 0);
        process.mDemandStore.restore();
        mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        assertThat(process.mDemand.rate("m", 0).callsPerSecond()).isZero();
    }

    @Test
    public void nextControllerReplacesTheRatesOfTheOneBefore() {
        new Process(CallBehavior.NO_FAULT).runFor(10_000);
        long before = mStoreState.get(ClusterKeys.DEMAND).orElseThrow().revision();
        Process next = new Process(CallBehavior.NO_FAULT);
        next.mDemandStore.restore();
        next.runFor(10_000);
        long after = mStoreState.get(ClusterKeys.DEMAND).orElseThrow().revision();
        assertThat(after).isGreaterThan(before);
    }
}

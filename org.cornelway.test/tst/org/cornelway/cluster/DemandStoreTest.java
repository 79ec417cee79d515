package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.invariant.Invariants;
import org.cornelway.models.DemandTable;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
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
        private final DocumentCache mCache =
                new DocumentCache(Invariants.strict(), new MetricRegistry());
        private final DemandTable mDemand = new DemandTable();
        private final DemandStore mDemandStore;

        Process(CallBehavior fault) {
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(mStoreState, mScheduler, () -> fault);
            mDemandStore = new DemandStore(store, mCache, mDemand, mScheduler);
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
        KeyValue stored = mStoreState.get(ClusterKeys.DEMAND).orElseThrow();
        next.mCache.offer(stored);
        next.mDemandStore.restore();
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
        process.mCache.offer(new KeyValue(ClusterKeys.DEMAND, new byte[] {1, 2}, 5));
        process.mDemandStore.restore();
        assertThat(process.mDemand.rate("m", 0).callsPerSecond()).isZero();
    }
}

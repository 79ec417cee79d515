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
import org.cornelway.standin.InMemoryKeyValueStore.CallFault;
import org.cornelway.standin.KeyValueState;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelUsage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Demand that one controller leaves for the next. */
public class DemandStoreTest {
    private static final Map<String, ModelRate> RATES = Map.of("m", new ModelRate(8, 300));

    private TestScheduler mTime;
    private KeyValueState mStore;

    /** One process with its keeper. */
    private final class Process {
        private final DocumentCache mCache =
                new DocumentCache(Invariants.strict(), new MetricRegistry());
        private final DemandTable mDemand = new DemandTable();
        private final DemandStore mKeeper;

        Process(CallFault fault) {
            InMemoryKeyValueStore store = new InMemoryKeyValueStore(mStore, mTime, () -> fault);
            mKeeper = new DemandStore(store, mCache, mDemand, mTime);
        }

        void work(long millis) {
            for (long i = 0; i < millis; i += 100) {
                long now = mTime.now(TimeUnit.MILLISECONDS);
                mDemand.report("self", new ModelUsage.Snapshot(List.of(), RATES), now);
                mKeeper.writeIfDue();
                mTime.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            }
        }
    }

    @BeforeMethod
    public void setUp() {
        mTime = new TestScheduler();
        mStore = new KeyValueState(() -> mTime.now(TimeUnit.MILLISECONDS));
    }

    @Test
    public void nextControllerKnowsWhatWasAskedFor() {
        new Process(CallFault.NONE).work(10_000);
        Process next = new Process(CallFault.NONE);
        KeyValue left = mStore.get(ClusterKeys.DEMAND).orElseThrow();
        next.mCache.offer(left);
        next.mKeeper.restore();
        long now = mTime.now(TimeUnit.MILLISECONDS);
        assertThat(next.mDemand.rate("m", now)).isEqualTo(RATES.get("m"));
    }

    @Test
    public void writesSeldomAndGoesOnWhenTheStoreFails() {
        Process lossy = new Process(new CallFault(1, true, false));
        lossy.work(20_000);
        assertThat(mStore.get(ClusterKeys.DEMAND)).isEmpty();
        new Process(CallFault.NONE).work(20_000);
        assertThat(mStore.revision()).isBetween(4L, 6L);
    }

    @Test
    public void malformedValueIsNoDemand() {
        Process process = new Process(CallFault.NONE);
        process.mCache.offer(new KeyValue(ClusterKeys.DEMAND, new byte[] {1, 2}, 5));
        process.mKeeper.restore();
        assertThat(process.mDemand.rate("m", 0).callsPerSecond()).isZero();
    }
}

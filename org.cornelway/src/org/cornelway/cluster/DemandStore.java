package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.models.DemandTable;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;
import org.cornelway.traffic.ModelRate;

/**
 * Leaves what models callers ask for in the key-value service, for the controller that comes next.
 *
 * <p>After a loss of power of all entries nothing else tells which of the loaded models are in use.
 * Losing a write does no harm. Confined to the control thread.
 */
public final class DemandStore {
    /** A write every few seconds costs little and is recent enough to place models by. */
    private static final long PERIOD_MILLIS = 4_000;

    private final KeyValueStore mStore;
    private final DocumentCache mCache;
    private final DemandTable mDemand;
    private final Scheduler mControl;
    private long mNextMillis;
    private boolean mBusy;

    /**
     * @param cache holds the key as last seen
     */
    public DemandStore(
            KeyValueStore store, DocumentCache cache, DemandTable demand, Scheduler control) {
        mStore = store;
        mCache = cache;
        mDemand = demand;
        mControl = control;
    }

    /** What is kept. */
    record Rates(Map<String, ModelRate> byModel) {}

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Hands the demand that an earlier controller left to this one. */
    public void restore() {
        mCache.find(ClusterKeys.DEMAND)
                .flatMap(held -> Json.read(held.value(), Rates.class))
                .ifPresent(rates -> mDemand.restoreRates(rates.byModel(), now()));
        mNextMillis = now() + PERIOD_MILLIS;
    }

    /** Writes what is asked for, while this process is the controller. */
    public void writeIfDue() {
        Map<String, ModelRate> rates = mDemand.rates(now());
        if (mBusy || now() < mNextMillis || rates.isEmpty()) {
            return;
        }
        mBusy = true;
        mNextMillis = now() + PERIOD_MILLIS;
        byte[] value = Json.write(new Rates(rates));
        long expected = mCache.revision(ClusterKeys.DEMAND);
        mStore.compareAndSwap(ClusterKeys.DEMAND, expected, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(result -> done(value, result), e -> mBusy = false);
    }

    private void done(byte[] value, SwapResult result) {
        mBusy = false;
        if (result instanceof SwapResult.Swapped swapped) {
            mCache.offer(new KeyValue(ClusterKeys.DEMAND, value, swapped.revision()));
        } else if (result instanceof SwapResult.Conflict conflict) {
            conflict.current().ifPresent(mCache::offer);
        }
    }
}

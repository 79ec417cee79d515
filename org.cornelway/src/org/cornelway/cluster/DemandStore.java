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
 * Stores the request rate of each model in the key-value service, for the next controller.
 *
 * <p>After all entries have lost power, nothing else records which of the loaded models are in use.
 * A lost write does no harm, because the rates are written again periodically. Confined to the
 * control thread.
 */
public final class DemandStore {
    /**
     * Time between two writes. Writes at this rate cost little, and the stored rates stay recent
     * enough for placing models.
     */
    private static final long WRITE_PERIOD_MILLIS = 4_000;

    private final KeyValueStore mStore;
    private final DocumentCache mCache;
    private final DemandTable mDemand;
    private final Scheduler mControl;
    private long mNextWriteMillis;
    private boolean mWriteInFlight;

    /**
     * @param cache holds the last known value of {@link ClusterKeys#DEMAND}
     */
    public DemandStore(
            KeyValueStore store, DocumentCache cache, DemandTable demand, Scheduler control) {
        mStore = store;
        mCache = cache;
        mDemand = demand;
        mControl = control;
    }

    /** The stored value, which is written as JSON. */
    record Rates(Map<String, ModelRate> byModel) {}

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /**
     * Restores the rates that an earlier controller stored, if there are any; called when this
     * process becomes the controller.
     */
    public void restore() {
        mCache.find(ClusterKeys.DEMAND)
                .flatMap(document -> Json.read(document.value(), Rates.class))
                .ifPresent(rates -> mDemand.restoreRates(rates.byModel(), now()));
        mNextWriteMillis = now() + WRITE_PERIOD_MILLIS;
    }

    /** Writes the current rates if a write is due; called while this process is the controller. */
    public void writeIfDue() {
        Map<String, ModelRate> rates = mDemand.rates(now());
        if (mWriteInFlight || now() < mNextWriteMillis || rates.isEmpty()) {
            return;
        }
        mWriteInFlight = true;
        mNextWriteMillis = now() + WRITE_PERIOD_MILLIS;
        byte[] value = Json.write(new Rates(rates));
        long expected = mCache.revision(ClusterKeys.DEMAND);
        mStore.compareAndSwap(ClusterKeys.DEMAND, expected, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(result -> onResult(value, result), e -> mWriteInFlight = false);
    }

    private void onResult(byte[] value, SwapResult result) {
        mWriteInFlight = false;
        if (result instanceof SwapResult.Swapped swapped) {
            mCache.offer(new KeyValue(ClusterKeys.DEMAND, value, swapped.revision()));
        } else if (result instanceof SwapResult.Conflict conflict) {
            conflict.current().ifPresent(mCache::offer);
        }
    }
}

package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.DemandTable;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
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
    private final DemandTable mDemand;
    private final Scheduler mControl;
    private final EventLog mLog;
    private long mNextWriteMillis;
    private boolean mWriteInFlight;

    /** Last known revision of the stored value. */
    private long mRevision = KeyValueStore.ABSENT;

    /**
     * @param demand the rates to store and to restore
     */
    public DemandStore(KeyValueStore store, DemandTable demand, Scheduler control, EventLog log) {
        mLog = log;
        mStore = store;
        mDemand = demand;
        mControl = control;
    }

    /** The stored value, which is written as JSON. */
    record Rates(Map<String, ModelRate> byModel) {}

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the rates that an earlier controller stored, if there are any; called when this process
     * becomes the controller.
     */
    public void restore() {
        mNextWriteMillis = now() + WRITE_PERIOD_MILLIS;
        mStore.get(ClusterKeys.DEMAND)
                .observeOn(mControl)
                .subscribe(
                        document -> document.ifPresent(this::restore),
                        e -> mLog.write("demand.unread", "reason", String.valueOf(e.getMessage())));
    }

    private void restore(KeyValue document) {
        mRevision = document.revision();
        Json.read(document.value(), Rates.class)
                .ifPresent(rates -> mDemand.restoreRates(rates.byModel(), now()));
    }

    /** Writes the current rates if a write is due; called while this process is the controller. */
    public void writeIfDue() {
        if (mWriteInFlight || now() < mNextWriteMillis) {
            return;
        }
        Map<String, ModelRate> rates = mDemand.rates(now());
        if (rates.isEmpty()) {
            return;
        }
        mWriteInFlight = true;
        mNextWriteMillis = now() + WRITE_PERIOD_MILLIS;
        byte[] value = Json.write(new Rates(rates));
        mStore.compareAndSwap(ClusterKeys.DEMAND, mRevision, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(this::onResult, e -> mWriteInFlight = false);
    }

    private void onResult(SwapResult result) {
        mWriteInFlight = false;
        if (result instanceof SwapResult.Swapped swapped) {
            mRevision = swapped.revision();
        } else if (result instanceof SwapResult.Conflict conflict) {
            mRevision = conflict.current().map(KeyValue::revision).orElse(KeyValueStore.ABSENT);
        } else if (result instanceof SwapResult.NotApplied) {
            // The revision may be of an earlier era; a conflict tells the present one.
            mRevision = KeyValueStore.ABSENT;
        }
    }
}

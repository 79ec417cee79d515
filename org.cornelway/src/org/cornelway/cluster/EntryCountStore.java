package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.quota.EntryCount;
import org.cornelway.relay.DocumentCache;

/**
 * Keeps the number of entries in the key-value service, so that entries which start together, or
 * while others are cut off, know among how many the quotas are divided.
 *
 * <p>The controller writes it when it changes; a smaller number only when it has known no more
 * members for long. Confined to the control thread.
 */
public final class EntryCountStore {
    private static final long WRITE_PERIOD_MILLIS = 2_000;

    private final KeyValueStore mStore;
    private final DocumentCache mCache;
    private final IntSupplier mMembers;
    private final Scheduler mControl;
    private final EntryCount mCount;
    private long mNextWriteMillis;

    /** The document that was decoded last, and its number. */
    private Optional<KeyValue> mRead = Optional.empty();

    private int mStored;

    /** The stored value, which is written as JSON. */
    record Entries(int entries) {}

    /**
     * @param members returns the number of members known
     */
    public EntryCountStore(
            KeyValueStore store, DocumentCache cache, IntSupplier members, Scheduler control) {
        mStore = store;
        mCache = cache;
        mMembers = members;
        mControl = control;
        mCount = new EntryCount(control.now(TimeUnit.MILLISECONDS));
    }

    private Optional<KeyValue> document() {
        return mCache.find(ClusterKeys.ENTRIES).filter(each -> !StoreFollower.isTombstone(each));
    }

    /** Returns the stored number; 0 if none is known. */
    public int stored() {
        Optional<KeyValue> document = document();
        if (!document.equals(mRead)) {
            mRead = document;
            mStored =
                    document.flatMap(each -> Json.read(each.value(), Entries.class))
                            .map(Entries::entries)
                            .orElse(0);
        }
        return mStored;
    }

    /** Writes the number if it has changed; called while this process is the controller. */
    public void writeIfChanged() {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        boolean isFirst = mNextWriteMillis == 0;
        mCount.record(isFirst ? Math.max(stored(), mMembers.getAsInt()) : mMembers.getAsInt(), now);
        if (isFirst) {
            mNextWriteMillis = now + WRITE_PERIOD_MILLIS;
        }
        int entries = mCount.get(now);
        if (now < mNextWriteMillis || !mCount.isSettled(now) || entries == stored()) {
            return;
        }
        mNextWriteMillis = now + WRITE_PERIOD_MILLIS;
        byte[] value = Json.write(new Entries(entries));
        long revision = document().map(KeyValue::revision).orElse(KeyValueStore.ABSENT);
        mStore.compareAndSwap(ClusterKeys.ENTRIES, revision, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(result -> onResult(value, result), e -> {});
    }

    private void onResult(byte[] value, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            mCache.offer(new KeyValue(ClusterKeys.ENTRIES, value, swapped.revision()));
        } else if (result instanceof SwapResult.Conflict conflict) {
            conflict.current().ifPresent(mCache::offer);
        }
    }
}

package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;

/**
 * Keeps this process's own key in the key-value service.
 *
 * <p>Confined to the control thread.
 */
public final class Registration {
    private static final long RETRY_MILLIS = 700;

    private final ClusterMember mSelf;
    private final KeyValueStore mStore;
    private final ProcessLease mLease;
    private final DocumentCache mCache;
    private final Scheduler mControl;
    private Optional<Long> mUnder = Optional.empty();
    private long mNextMillis;
    private boolean mBusy;

    /**
     * @param cache gets the key as written
     */
    public Registration(
            ClusterMember self,
            KeyValueStore store,
            ProcessLease lease,
            DocumentCache cache,
            Scheduler control) {
        mSelf = self;
        mStore = store;
        mLease = lease;
        mCache = cache;
        mControl = control;
    }

    /** Writes the key if it does not stand under the present lease. */
    public void step() {
        Optional<Long> lease = mLease.id();
        long now = mControl.now(TimeUnit.MILLISECONDS);
        if (mBusy || lease.isEmpty() || lease.equals(mUnder) || now < mNextMillis) {
            return;
        }
        mBusy = true;
        mNextMillis = now + RETRY_MILLIS;
        String key = ClusterKeys.MEMBERS_PREFIX + mSelf.id();
        long expected =
                mCache.find(key)
                        .filter(held -> !StoreFollower.isTombstone(held))
                        .map(KeyValue::revision)
                        .orElse(KeyValueStore.ABSENT);
        byte[] value = Json.write(mSelf);
        mStore.compareAndSwap(key, expected, value, lease.get())
                .observeOn(mControl)
                .subscribe(result -> done(key, value, lease, result), e -> mBusy = false);
    }

    private void done(String key, byte[] value, Optional<Long> lease, SwapResult result) {
        mBusy = false;
        if (result instanceof SwapResult.Swapped swapped) {
            mUnder = lease;
            mCache.offer(new KeyValue(key, value, swapped.revision()));
        } else if (result instanceof SwapResult.Conflict conflict) {
            conflict.current().ifPresent(mCache::offer);
            mNextMillis = 0;
        }
    }
}

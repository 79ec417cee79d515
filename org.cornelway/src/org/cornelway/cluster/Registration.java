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
 * Keeps this process registered in the key-value service.
 *
 * <p>The registration is a key that is bound to the lease of the process. When the process gets a
 * new lease, the key is written again.
 *
 * <p>Confined to the control thread.
 */
public final class Registration {
    /** Shortest time between two writes, except that a conflict is retried in the next step. */
    private static final long RETRY_MILLIS = 700;

    private final ClusterMember mSelf;
    private final KeyValueStore mStore;
    private final ProcessLease mLease;
    private final DocumentCache mCache;
    private final Scheduler mControl;

    /** Lease to which the last successful write bound the registration. */
    private Optional<Long> mWrittenLease = Optional.empty();

    private long mNextWriteMillis;
    private boolean mWriteInFlight;

    /**
     * @param cache receives the stored registration after each write or conflict
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

    /** Writes the registration if it is not bound to the current lease; called periodically. */
    public void step() {
        Optional<Long> lease = mLease.id();
        long now = mControl.now(TimeUnit.MILLISECONDS);
        if (mWriteInFlight
                || lease.isEmpty()
                || lease.equals(mWrittenLease)
                || now < mNextWriteMillis) {
            return;
        }
        mWriteInFlight = true;
        mNextWriteMillis = now + RETRY_MILLIS;
        String key = ClusterKeys.MEMBERS_PREFIX + mSelf.id();
        long expectedRevision =
                mCache.find(key)
                        .filter(document -> !StoreFollower.isTombstone(document))
                        .map(KeyValue::revision)
                        .orElse(KeyValueStore.ABSENT);
        byte[] value = Json.write(mSelf);
        mStore.compareAndSwap(key, expectedRevision, value, lease.get())
                .observeOn(mControl)
                .subscribe(
                        result -> onWriteResult(key, value, lease, result),
                        e -> mWriteInFlight = false);
    }

    private void onWriteResult(String key, byte[] value, Optional<Long> lease, SwapResult result) {
        mWriteInFlight = false;
        if (result instanceof SwapResult.Swapped swapped) {
            mWrittenLease = lease;
            mCache.offer(new KeyValue(key, value, swapped.revision()));
        } else if (result instanceof SwapResult.Conflict conflict) {
            conflict.current().ifPresent(mCache::offer);
            mNextWriteMillis = 0;
        }
    }
}

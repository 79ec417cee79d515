package org.cornelway.controller;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * Acquires and renews the lease that lets one process act as controller.
 *
 * <p>The lease only keeps several controllers from competing. Safety does not depend on it, but on
 * the conditional write of the placement document. Confined to the control thread.
 */
public final class ControllerLease {
    /** Key whose value is the instance id of the holder. */
    public static final String KEY = "cornelway/controller/0";

    private static final Logger LOG = LogManager.getLogger(ControllerLease.class);
    private static final long TTL_SECONDS = 6;
    private static final long RENEW_INTERVAL_MILLIS = 2_000;
    private static final long ACQUIRE_INTERVAL_MILLIS = 2_000;

    private final String mSelf;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private Optional<Long> mLeaseId = Optional.empty();
    private long mHeldUntilMillis;
    private long mAcquiredMillis;
    private long mNextCallMillis;
    private boolean mCallInProgress;

    /**
     * @param self this process's instance id
     */
    public ControllerLease(String self, KeyValueStore store, Scheduler control) {
        mSelf = self;
        mStore = store;
        mControl = control;
    }

    /**
     * Whether the lease is held: it has been neither released nor lost, and its time to live has
     * not passed since this process sent the last successful acquisition or renewal.
     */
    public boolean isHeld() {
        return mLeaseId.isPresent() && now() < mHeldUntilMillis;
    }

    /** Returns the milliseconds since the lease was acquired, or 0 if it is not held. */
    public long ageMillis() {
        return isHeld() ? now() - mAcquiredMillis : 0;
    }

    /**
     * Renews the lease if it is held, or releases it if this process is no longer a candidate.
     * Without the lease, a candidate tries to acquire it. Does nothing while a call is in progress,
     * or if the last call began less than 2 s ago.
     *
     * @param isCandidate whether this process may hold the lease
     */
    public void step(boolean isCandidate) {
        if (mCallInProgress || now() < mNextCallMillis) {
            return;
        }
        if (mLeaseId.isPresent() && !isCandidate) {
            release();
        } else if (mLeaseId.isPresent()) {
            renew(mLeaseId.get());
        } else if (isCandidate) {
            tryAcquire();
        }
    }

    private void renew(long leaseId) {
        beginCall(RENEW_INTERVAL_MILLIS);
        long requestedMillis = now();
        mStore.keepAlive(leaseId)
                .observeOn(mControl)
                .doFinally(() -> mCallInProgress = false)
                .subscribe(
                        isAlive -> {
                            if (isAlive) {
                                mHeldUntilMillis = requestedMillis + TTL_SECONDS * 1_000;
                            } else {
                                onLost("the lease expired");
                            }
                        },
                        e -> {
                            if (now() >= mHeldUntilMillis) {
                                onLost(String.valueOf(e.getMessage()));
                            }
                        });
    }

    private void onLost(String reason) {
        LOG.warn("controller lease lost: {}", reason);
        mLeaseId = Optional.empty();
    }

    private void tryAcquire() {
        beginCall(ACQUIRE_INTERVAL_MILLIS);
        mStore.get(KEY)
                .flatMap(holder -> holder.isPresent() ? Single.just(false) : acquire())
                .observeOn(mControl)
                .doFinally(() -> mCallInProgress = false)
                .subscribe(
                        isAcquired -> {},
                        e -> LOG.debug("controller lease not acquired: {}", e.getMessage()));
    }

    private Single<Boolean> acquire() {
        long requestedMillis = now();
        byte[] value = mSelf.getBytes(StandardCharsets.UTF_8);
        return mStore.grantLease(TTL_SECONDS)
                .flatMap(
                        id ->
                                mStore.compareAndSwap(KEY, KeyValueStore.ABSENT, value, id)
                                        .observeOn(mControl)
                                        .map(
                                                result ->
                                                        onAcquireResult(
                                                                id, requestedMillis, result)));
    }

    private boolean onAcquireResult(long leaseId, long requestedMillis, SwapResult result) {
        if (!(result instanceof SwapResult.Swapped)) {
            mStore.revokeLease(leaseId).onErrorComplete().subscribe();
            return false;
        }
        mLeaseId = Optional.of(leaseId);
        mHeldUntilMillis = requestedMillis + TTL_SECONDS * 1_000;
        mAcquiredMillis = now();
        LOG.info("controller lease acquired");
        return true;
    }

    /**
     * Releases the lease, so that another process can acquire it immediately. If the call fails,
     * the lease expires by itself.
     */
    public void release() {
        mLeaseId.ifPresent(id -> mStore.revokeLease(id).onErrorComplete().subscribe());
        mLeaseId = Optional.empty();
    }

    /** Reads the instance id of the holder; empty if no process holds the lease. */
    public static Single<Optional<String>> readHolder(KeyValueStore store) {
        return store.get(KEY)
                .map(kv -> kv.map(KeyValue::value).map(v -> new String(v, StandardCharsets.UTF_8)));
    }

    private void beginCall(long intervalMillis) {
        mCallInProgress = true;
        mNextCallMillis = now() + intervalMillis;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

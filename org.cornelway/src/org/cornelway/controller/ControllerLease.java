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
 * Takes and keeps the lease that lets one process work as controller.
 *
 * <p>The lease only keeps processes from working against each other; safety rests on the placement
 * document's conditional write. Confined to the control thread.
 */
public final class ControllerLease {
    /** Key that names the holder. */
    public static final String KEY = "cornelway/controller/0";

    private static final Logger LOG = LogManager.getLogger(ControllerLease.class);
    private static final long TTL_SECONDS = 6;
    private static final long RENEW_MILLIS = 2_000;
    private static final long TRY_MILLIS = 2_000;

    private final String mSelf;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private Optional<Long> mLeaseId = Optional.empty();
    private long mHeldUntilMillis;
    private long mSinceMillis;
    private long mNextCallMillis;
    private boolean mBusy;

    /**
     * @param self this process's instance id
     */
    public ControllerLease(String self, KeyValueStore store, Scheduler control) {
        mSelf = self;
        mStore = store;
        mControl = control;
    }

    /** Whether the lease is surely held now. */
    public boolean isHeld() {
        return mLeaseId.isPresent() && now() < mHeldUntilMillis;
    }

    /** Milliseconds since the lease was taken, 0 if not held. */
    public long ageMillis() {
        return isHeld() ? now() - mSinceMillis : 0;
    }

    /** Renews the lease if held, else tries to take it if this process is a candidate. */
    public void step(boolean candidate) {
        if (mBusy || now() < mNextCallMillis) {
            return;
        }
        if (mLeaseId.isPresent() && !candidate) {
            release();
        } else if (mLeaseId.isPresent()) {
            renew(mLeaseId.get());
        } else if (candidate) {
            tryTake();
        }
    }

    private void renew(long leaseId) {
        begin(RENEW_MILLIS);
        long asked = now();
        mStore.keepAlive(leaseId)
                .observeOn(mControl)
                .doFinally(() -> mBusy = false)
                .subscribe(
                        alive -> {
                            if (alive) {
                                mHeldUntilMillis = asked + TTL_SECONDS * 1_000;
                            } else {
                                lost("the lease lapsed");
                            }
                        },
                        e -> {
                            if (now() >= mHeldUntilMillis) {
                                lost(String.valueOf(e.getMessage()));
                            }
                        });
    }

    private void lost(String reason) {
        LOG.warn("controller lease lost: {}", reason);
        mLeaseId = Optional.empty();
    }

    private void tryTake() {
        begin(TRY_MILLIS);
        mStore.get(KEY)
                .flatMap(holder -> holder.isPresent() ? Single.just(false) : take())
                .observeOn(mControl)
                .doFinally(() -> mBusy = false)
                .subscribe(taken -> {}, e -> LOG.debug("lease not taken: {}", e.getMessage()));
    }

    private Single<Boolean> take() {
        long asked = now();
        byte[] value = mSelf.getBytes(StandardCharsets.UTF_8);
        return mStore.grantLease(TTL_SECONDS)
                .flatMap(
                        id ->
                                mStore.compareAndSwap(KEY, KeyValueStore.ABSENT, value, id)
                                        .observeOn(mControl)
                                        .map(result -> taken(id, asked, result)));
    }

    private boolean taken(long leaseId, long askedMillis, SwapResult result) {
        if (!(result instanceof SwapResult.Swapped)) {
            mStore.revokeLease(leaseId).onErrorComplete().subscribe();
            return false;
        }
        mLeaseId = Optional.of(leaseId);
        mHeldUntilMillis = askedMillis + TTL_SECONDS * 1_000;
        mSinceMillis = now();
        LOG.info("controller lease taken");
        return true;
    }

    /** Gives the lease up, so that another process can take it at once. */
    public void release() {
        mLeaseId.ifPresent(id -> mStore.revokeLease(id).onErrorComplete().subscribe());
        mLeaseId = Optional.empty();
    }

    /** Reads who holds the lease. */
    public static Single<Optional<String>> holder(KeyValueStore store) {
        return store.get(KEY)
                .map(kv -> kv.map(KeyValue::value).map(v -> new String(v, StandardCharsets.UTF_8)));
    }

    private void begin(long intervalMillis) {
        mBusy = true;
        mNextCallMillis = now() + intervalMillis;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.time.SuspendAwareClock;

/**
 * The lease that all keys of this process are bound to.
 *
 * <p>Invariant: {@link #isHeld} returns true only while the lease cannot have expired in the
 * key-value service, even if the host was suspended in the meantime. Confined to the control
 * thread.
 */
public final class ProcessLease {
    /** Time without a renewal after which the lease expires. */
    private static final long TTL_SECONDS = 2;

    private static final long TTL_MILLIS = TTL_SECONDS * 1_000;

    /**
     * Time between two renewals; short enough to repeat a lost renewal before the lease expires.
     */
    private static final long RENEWAL_PERIOD_MILLIS = 600;

    /**
     * This process treats the lease as expired this long before it can expire in the service, so
     * that an order that was sent at the last moment still arrives while the lease is valid.
     */
    private static final long EXPIRY_MARGIN_MILLIS = 150;

    /** Delay before a failed request or renewal is repeated. */
    private static final long RETRY_DELAY_MILLIS = 250;

    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final SuspendAwareClock mClock;
    private final StoreHealth mHealth;
    private final EventLog mLog;
    private Optional<Long> mLeaseId = Optional.empty();

    /**
     * When the last successful request or renewal was sent; the lease expires no earlier than its
     * TTL after this.
     */
    private SuspendAwareClock.Mark mTtlStart;

    private long mNextCallMillis;
    private boolean mCallInFlight;
    private boolean mStopped;

    /**
     * @param clock clock that includes suspensions of the host
     */
    public ProcessLease(
            KeyValueStore store,
            Scheduler control,
            SuspendAwareClock clock,
            StoreHealth health,
            EventLog log) {
        mStore = store;
        mControl = control;
        mClock = clock;
        mHealth = health;
        mLog = log;
        mTtlStart = clock.mark();
    }

    /** Returns the id of the lease, or empty if there is none or it may have expired. */
    public Optional<Long> id() {
        return isHeld() ? mLeaseId : Optional.empty();
    }

    /** Whether this process has a lease that cannot have expired yet. */
    public boolean isHeld() {
        return mLeaseId.isPresent()
                && mClock.elapsedMillisSince(mTtlStart) < TTL_MILLIS - EXPIRY_MARGIN_MILLIS;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Requests or renews the lease if a call to the service is due. */
    public void step() {
        if (mCallInFlight || mStopped || now() < mNextCallMillis) {
            return;
        }
        mCallInFlight = true;
        SuspendAwareClock.Mark sent = mClock.mark();
        if (mLeaseId.isPresent()) {
            renewLease(mLeaseId.get(), sent);
        } else {
            requestLease(sent);
        }
    }

    private void requestLease(SuspendAwareClock.Mark sent) {
        mStore.grantLease(TTL_SECONDS)
                .observeOn(mControl)
                .subscribe(
                        id -> {
                            mLeaseId = Optional.of(id);
                            mTtlStart = sent;
                            mLog.write("lease.granted", "lease", id);
                            onSuccess(RENEWAL_PERIOD_MILLIS);
                        },
                        this::onFailure);
    }

    private void renewLease(long id, SuspendAwareClock.Mark sent) {
        mStore.keepAlive(id)
                .observeOn(mControl)
                .subscribe(
                        alive -> {
                            if (alive) {
                                mTtlStart = sent;
                                onSuccess(RENEWAL_PERIOD_MILLIS);
                            } else {
                                mLog.write("lease.lost", "lease", id);
                                mLeaseId = Optional.empty();
                                onSuccess(0);
                            }
                        },
                        this::onFailure);
    }

    private void onSuccess(long delayMillis) {
        mHealth.recordSuccess();
        mCallInFlight = false;
        mNextCallMillis = now() + delayMillis;
    }

    private void onFailure(Throwable e) {
        mHealth.recordFailure("lease", e);
        mCallInFlight = false;
        mNextCallMillis = now() + RETRY_DELAY_MILLIS;
    }

    /** Revokes the lease, which deletes all keys of this process, and requests no further lease. */
    public Completable release() {
        mStopped = true;
        Completable revocation =
                mLeaseId.map(id -> mStore.revokeLease(id).onErrorComplete())
                        .orElse(Completable.complete());
        mLeaseId = Optional.empty();
        return revocation;
    }
}

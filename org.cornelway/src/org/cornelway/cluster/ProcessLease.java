package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValueStore;

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
    private static final long RENEW_MILLIS = 600;

    /**
     * The lease counts as expired this long before it can expire in the service, so that an order
     * that was sent just before still arrives while the lease is valid.
     */
    private static final long MARGIN_MILLIS = 150;

    /** Delay before a failed request or renewal is repeated. */
    private static final long RETRY_MILLIS = 250;

    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final SuspendAwareClock mClock;
    private final StoreHealth mHealth;
    private final EventLog mLog;
    private Optional<Long> mId = Optional.empty();

    /**
     * When the last successful request or renewal was sent; the lease expires no earlier than its
     * TTL after this.
     */
    private SuspendAwareClock.Mark mTtlStart;

    private long mNextCallMillis;
    private boolean mInFlight;
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
        return isHeld() ? mId : Optional.empty();
    }

    /** Whether this process has a lease that cannot have expired yet. */
    public boolean isHeld() {
        return mId.isPresent() && mClock.elapsedMillisSince(mTtlStart) < TTL_MILLIS - MARGIN_MILLIS;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Requests or renews the lease if that is due. */
    public void step() {
        if (mInFlight || mStopped || now() < mNextCallMillis) {
            return;
        }
        mInFlight = true;
        SuspendAwareClock.Mark sent = mClock.mark();
        if (mId.isPresent()) {
            renew(mId.get(), sent);
        } else {
            request(sent);
        }
    }

    private void request(SuspendAwareClock.Mark sent) {
        mStore.grantLease(TTL_SECONDS)
                .observeOn(mControl)
                .subscribe(
                        id -> {
                            mId = Optional.of(id);
                            mTtlStart = sent;
                            mLog.write("lease.granted", "lease", id);
                            onSuccess(RENEW_MILLIS);
                        },
                        this::onFailure);
    }

    private void renew(long id, SuspendAwareClock.Mark sent) {
        mStore.keepAlive(id)
                .observeOn(mControl)
                .subscribe(
                        alive -> {
                            if (alive) {
                                mTtlStart = sent;
                                onSuccess(RENEW_MILLIS);
                            } else {
                                mLog.write("lease.lost", "lease", id);
                                mId = Optional.empty();
                                onSuccess(0);
                            }
                        },
                        this::onFailure);
    }

    private void onSuccess(long pauseMillis) {
        mHealth.recordSuccess();
        mInFlight = false;
        mNextCallMillis = now() + pauseMillis;
    }

    private void onFailure(Throwable e) {
        mHealth.recordFailure("lease", e);
        mInFlight = false;
        mNextCallMillis = now() + RETRY_MILLIS;
    }

    /** Revokes the lease, which deletes all keys of this process, and requests no further lease. */
    public Completable release() {
        mStopped = true;
        Completable revocation =
                mId.map(id -> mStore.revokeLease(id).onErrorComplete())
                        .orElse(Completable.complete());
        mId = Optional.empty();
        return revocation;
    }
}

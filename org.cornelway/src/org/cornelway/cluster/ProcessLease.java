package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValueStore;

/**
 * The one lease that all keys of this process end with.
 *
 * <p>Invariant: {@link #isHeld} is true only while the service surely holds the lease, suspensions
 * of this machine included. Confined to the control thread.
 */
public final class ProcessLease {
    /** Time without a renewal after which the service ends the lease. */
    private static final long TTL_SECONDS = 2;

    private static final long TTL_MILLIS = TTL_SECONDS * 1_000;

    /** A renewal may be lost and sent again before the lease ends. */
    private static final long RENEW_MILLIS = 600;

    /** Slack between the end here and at the service, for an order on its way. */
    private static final long MARGIN_MILLIS = 150;

    private static final long RETRY_MILLIS = 250;

    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final SuspensionClock mClock;
    private final StoreHealth mHealth;
    private final EventLog mLog;
    private Optional<Long> mId = Optional.empty();
    private SuspensionClock.Mark mAsked;
    private long mNextMillis;
    private boolean mBusy;
    private boolean mStopped;

    /**
     * @param clock counts suspensions
     */
    public ProcessLease(
            KeyValueStore store,
            Scheduler control,
            SuspensionClock clock,
            StoreHealth health,
            EventLog log) {
        mStore = store;
        mControl = control;
        mClock = clock;
        mHealth = health;
        mLog = log;
        mAsked = clock.mark();
    }

    /** The lease while it is surely held. */
    public Optional<Long> id() {
        return isHeld() ? mId : Optional.empty();
    }

    /** Whether the service surely holds the lease. */
    public boolean isHeld() {
        return mId.isPresent() && mClock.elapsedMillisSince(mAsked) < TTL_MILLIS - MARGIN_MILLIS;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Grants or renews the lease when that is due. */
    public void step() {
        if (mBusy || mStopped || now() < mNextMillis) {
            return;
        }
        mBusy = true;
        SuspensionClock.Mark asked = mClock.mark();
        if (mId.isPresent()) {
            renew(mId.get(), asked);
        } else {
            grant(asked);
        }
    }

    private void grant(SuspensionClock.Mark asked) {
        mStore.grantLease(TTL_SECONDS)
                .observeOn(mControl)
                .subscribe(
                        id -> {
                            mId = Optional.of(id);
                            mAsked = asked;
                            mLog.write("lease.granted", "lease", id);
                            done(RENEW_MILLIS);
                        },
                        this::failed);
    }

    private void renew(long id, SuspensionClock.Mark asked) {
        mStore.keepAlive(id)
                .observeOn(mControl)
                .subscribe(
                        alive -> {
                            if (alive) {
                                mAsked = asked;
                                done(RENEW_MILLIS);
                            } else {
                                mLog.write("lease.lost", "lease", id);
                                mId = Optional.empty();
                                done(0);
                            }
                        },
                        this::failed);
    }

    private void done(long pauseMillis) {
        mHealth.recordSuccess();
        mBusy = false;
        mNextMillis = now() + pauseMillis;
    }

    private void failed(Throwable e) {
        mHealth.recordFailure("lease", e);
        mBusy = false;
        mNextMillis = now() + RETRY_MILLIS;
    }

    /** Ends the lease and with it all keys of this process. */
    public Completable release() {
        mStopped = true;
        Completable end =
                mId.map(id -> mStore.revokeLease(id).onErrorComplete())
                        .orElse(Completable.complete());
        mId = Optional.empty();
        return end;
    }
}

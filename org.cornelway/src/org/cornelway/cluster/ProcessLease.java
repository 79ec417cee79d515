package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.supervisor.Component;
import org.cornelway.time.SuspendAwareClock;

/**
 * The lease that all keys of this process are bound to.
 *
 * <p>Renewals run on the scheduler that also sends the requests, so that neither a busy control
 * thread nor the change between busy threads lets the lease expire.
 *
 * <p>Invariant: {@link #isHeld} returns true only while the lease cannot have expired in the
 * key-value service, even if the host was suspended in the meantime. {@link #id} and {@link
 * #isHeld} are thread-safe; all else is confined to the lease's scheduler.
 */
public final class ProcessLease implements Component {
    /** Time without a renewal after which the lease expires. */
    private static final long TTL_SECONDS = 2;

    static final long TTL_MILLIS = TTL_SECONDS * 1_000;

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

    /** Delay of a call from which it is logged: the threads of this process run late. */
    private static final long LATE_MILLIS = 300;

    /** Interval at which due calls are made. */
    private static final long STEP_PERIOD_MILLIS = 50;

    private final KeyValueStore mStore;
    private final Scheduler mScheduler;
    private final Scheduler mControl;
    private final SuspendAwareClock mClock;
    private final StoreHealth mHealth;
    private final EventLog mLog;

    /** The lease after the last successful request or renewal; empty if there is none. */
    private volatile Optional<Grant> mGrant = Optional.empty();

    private Disposable mSteps = Disposable.disposed();
    private long mNextCallMillis;
    private boolean mCallInFlight;
    private boolean mStopped;

    /** Number of restores of the service that are known. */
    private int mRestores;

    /**
     * A lease as last granted or renewed; it expires no earlier than its TTL after the call was
     * sent. Immutable.
     */
    private record Grant(long id, SuspendAwareClock.Mark sent) {}

    /**
     * @param scheduler scheduler of the renewals, with one thread
     * @param control scheduler that the health is confined to
     * @param clock clock that includes suspensions of the host
     */
    public ProcessLease(
            KeyValueStore store,
            Scheduler scheduler,
            Scheduler control,
            SuspendAwareClock clock,
            StoreHealth health,
            EventLog log) {
        mStore = store;
        mScheduler = scheduler;
        mControl = control;
        mClock = clock;
        mHealth = health;
        mLog = log;
    }

    @Override
    public String name() {
        return "process-lease";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () ->
                        mSteps =
                                mScheduler.schedulePeriodicallyDirect(
                                        this::step, 0, STEP_PERIOD_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(mSteps::dispose);
    }

    /** Returns the id of the lease, or empty if there is none or it may have expired. */
    public Optional<Long> id() {
        return mGrant.filter(this::isValid).map(Grant::id);
    }

    /** Whether this process has a lease that cannot have expired yet. */
    public boolean isHeld() {
        return mGrant.filter(this::isValid).isPresent();
    }

    private boolean isValid(Grant grant) {
        return mClock.elapsedMillisSince(grant.sent()) < TTL_MILLIS - EXPIRY_MARGIN_MILLIS;
    }

    private long now() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Requests or renews the lease if a call to the service is due. */
    void step() {
        if (mCallInFlight || mStopped || now() < mNextCallMillis) {
            return;
        }
        logIfLate();
        mCallInFlight = true;
        SuspendAwareClock.Mark sent = mClock.mark();
        try {
            if (mGrant.isPresent()) {
                renewLease(mGrant.get().id(), sent);
            } else {
                requestLease(sent);
            }
        } catch (RuntimeException e) {
            // An exception would end the periodic steps, and with them the lease.
            onFailure(e);
        }
    }

    private void logIfLate() {
        long lateMillis = now() - mNextCallMillis;
        if (mNextCallMillis > 0 && lateMillis >= LATE_MILLIS) {
            mLog.write("lease.call_late", "late_ms", lateMillis);
        }
    }

    private void requestLease(SuspendAwareClock.Mark sent) {
        mStore.grantLease(TTL_SECONDS)
                .observeOn(mScheduler)
                .subscribe(id -> onGranted(id, sent), this::onFailure);
    }

    private void onGranted(long id, SuspendAwareClock.Mark sent) {
        mLog.write("lease.granted", "lease", id);
        if (mStopped) {
            mStore.revokeLease(id).onErrorComplete().subscribe();
            return;
        }
        mGrant = Optional.of(new Grant(id, sent));
        onSuccess(RENEWAL_PERIOD_MILLIS);
    }

    private void renewLease(long id, SuspendAwareClock.Mark sent) {
        int restores = mRestores;
        mStore.keepAlive(id)
                .observeOn(mScheduler)
                .subscribe(
                        alive -> onRenewalReply(id, sent, alive && restores == mRestores),
                        this::onFailure);
    }

    /**
     * Requests a new lease after the service was restored from a copy. The lease is lost or not
     * known to be the one that was granted, since the service may give its id out again.
     */
    public void onStoreRestored() {
        mScheduler.scheduleDirect(
                () -> {
                    mRestores++;
                    mGrant = Optional.empty();
                    mNextCallMillis = 0;
                });
    }

    private void onRenewalReply(long id, SuspendAwareClock.Mark sent, boolean alive) {
        if (alive) {
            if (!mStopped) {
                mGrant = Optional.of(new Grant(id, sent));
            }
            onSuccess(RENEWAL_PERIOD_MILLIS);
        } else {
            mLog.write("lease.lost", "lease", id);
            mGrant = Optional.empty();
            onSuccess(0);
        }
    }

    private void onSuccess(long delayMillis) {
        mControl.scheduleDirect(mHealth::recordSuccess);
        mCallInFlight = false;
        mNextCallMillis = now() + delayMillis;
    }

    private void onFailure(Throwable e) {
        mLog.write("lease.call_failed", "reason", String.valueOf(e.getMessage()));
        mControl.scheduleDirect(() -> mHealth.recordFailure("lease", e));
        mCallInFlight = false;
        mNextCallMillis = now() + RETRY_DELAY_MILLIS;
    }

    /** Revokes the lease, which deletes all keys of this process, and requests no further lease. */
    public Completable release() {
        return Completable.defer(this::revoke).subscribeOn(mScheduler);
    }

    private Completable revoke() {
        mStopped = true;
        Optional<Grant> held = mGrant;
        mGrant = Optional.empty();
        return held.map(grant -> mStore.revokeLease(grant.id()).onErrorComplete())
                .orElse(Completable.complete());
    }
}

package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.ModelController;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;

/**
 * Makes at most one process the controller.
 *
 * <p>Invariant: a term's fencing number is the revision of the write that began it, so a later term
 * has a higher one. The right to order ends with the lease, before the service ends the lease.
 * Confined to the control thread.
 */
public final class Election implements ModelController.TermSource {
    /** Candidates wait by their rank, so that seldom two write at once. */
    private static final long RANK_MILLIS = 60;

    private static final long RETRY_MILLIS = 400;

    private final ClusterMember mSelf;
    private final KeyValueStore mStore;
    private final ProcessLease mLease;
    private final DocumentCache mCache;
    private final Scheduler mControl;
    private final EventLog mLog;
    private final Listener mListener;
    private Optional<Long> mFence = Optional.empty();
    private Optional<Long> mUnder = Optional.empty();
    private long mNextMillis;
    private long mVacantMillis = -1;
    private boolean mBusy;
    private boolean mResigned;

    /** Hears of this process's terms. Called on the control thread. */
    public interface Listener {
        /** A term begins. */
        void termBegan(long fence);

        /** The term ended. */
        void termEnded();
    }

    /**
     * @param self this process
     */
    public Election(
            ClusterMember self,
            KeyValueStore store,
            ProcessLease lease,
            DocumentCache cache,
            Scheduler control,
            EventLog log,
            Listener listener) {
        mSelf = self;
        mStore = store;
        mLease = lease;
        mCache = cache;
        mControl = control;
        mLog = log;
        mListener = listener;
    }

    /** The controller as last heard of, this process included. */
    public Optional<ClusterMember> controller() {
        return current().flatMap(held -> Json.read(held.value(), ClusterMember.class));
    }

    private Optional<KeyValue> current() {
        return mCache.find(ClusterKeys.CONTROLLER).filter(held -> !StoreFollower.isTombstone(held));
    }

    @Override
    public Optional<Long> fencingNumber() {
        return mLease.id().equals(mUnder) ? mFence : Optional.empty();
    }

    @Override
    public String holder() {
        return mSelf.id();
    }

    @Override
    public void onFenced() {
        end("an engine took orders of a later term");
    }

    /**
     * Begins or ends a term where that is due.
     *
     * @param candidate whether this process may become the controller
     * @param rank place of this process among the candidates
     */
    public void step(boolean candidate, int rank) {
        if (mFence.isPresent() && fencingNumber().isEmpty()) {
            end("the lease is not held");
        }
        if (mFence.isPresent() && isOvertaken()) {
            end("another process is the controller");
        }
        long now = mControl.now(TimeUnit.MILLISECONDS);
        Optional<KeyValue> current = current();
        boolean vacant = current.isEmpty() || current.filter(this::isOwnFormer).isPresent();
        if (!vacant || mFence.isPresent()) {
            mVacantMillis = -1;
            return;
        }
        if (mVacantMillis < 0) {
            mVacantMillis = now;
        }
        boolean due = now >= mVacantMillis + rank * RANK_MILLIS && now >= mNextMillis;
        if (candidate && due && !mBusy && !mResigned && mLease.isHeld()) {
            take(current.map(KeyValue::revision).orElse(KeyValueStore.ABSENT));
        }
    }

    private boolean isOvertaken() {
        return mCache.revision(ClusterKeys.CONTROLLER) > mFence.get();
    }

    /** A process that was restarted finds the key of the one before it. */
    private boolean isOwnFormer(KeyValue held) {
        return Json.read(held.value(), ClusterMember.class)
                .map(m -> m.id().equals(mSelf.id()))
                .orElse(false);
    }

    private void take(long expected) {
        mBusy = true;
        Optional<Long> lease = mLease.id();
        byte[] value = Json.write(mSelf);
        mStore.compareAndSwap(ClusterKeys.CONTROLLER, expected, value, lease.orElseThrow())
                .observeOn(mControl)
                .subscribe(result -> taken(value, lease, result), e -> mBusy = false);
    }

    private void taken(byte[] value, Optional<Long> lease, SwapResult result) {
        mBusy = false;
        mNextMillis = mControl.now(TimeUnit.MILLISECONDS) + RETRY_MILLIS;
        if (result instanceof SwapResult.Swapped swapped) {
            begin(new KeyValue(ClusterKeys.CONTROLLER, value, swapped.revision()), lease);
        } else if (result instanceof SwapResult.Conflict conflict) {
            boolean own =
                    conflict.current().map(kv -> Arrays.equals(kv.value(), value)).orElse(false);
            if (own && lease.equals(mLease.id())) {
                begin(conflict.current().get(), lease);
            } else {
                conflict.current().ifPresent(mCache::offer);
            }
        }
    }

    private void begin(KeyValue written, Optional<Long> lease) {
        mCache.offer(written);
        mFence = Optional.of(written.revision());
        mUnder = lease;
        mVacantMillis = -1;
        mLog.write("controller.began", "fence", written.revision(), "lease", lease.orElse(0L));
        mListener.termBegan(written.revision());
    }

    private void end(String reason) {
        if (mFence.isPresent()) {
            mLog.write("controller.ended", "fence", mFence.get(), "reason", reason);
            mFence = Optional.empty();
            mListener.termEnded();
        }
    }

    /** Gives the term up for good, before a stop. */
    public void resign() {
        mResigned = true;
        Optional<Long> fence = mFence;
        end("the process stops");
        fence.ifPresent(
                revision ->
                        mStore.delete(ClusterKeys.CONTROLLER, revision)
                                .onErrorComplete()
                                .subscribe());
    }
}

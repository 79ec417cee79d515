package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Arrays;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.eventlog.EventLog;
import org.cornelway.models.ModelController;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * Elects the controller: at most one process is the controller at any time.
 *
 * <p>Invariants: the fencing number of a term is the revision of the write that began the term, so
 * a later term has a higher number, also after the key-value service was restored from a copy. A
 * process stops sending orders before the service ends its lease. After a restore, no process but
 * the last controller claims the key before each lease from before it has ended. Confined to the
 * control thread, except {@link #fencingNumber} and {@link #holder}, which are thread-safe.
 */
public final class Election implements ModelController.TermSource {
    /**
     * Delay per rank before a candidate claims the controller key, so that two candidates rarely
     * write at the same time.
     */
    private static final long RANK_DELAY_MILLIS = 60;

    /** Shortest time between the result of a claim and the next claim. */
    private static final long RETRY_MILLIS = 400;

    private final ClusterMember mSelf;
    private final KeyValueStore mStore;
    private final ProcessLease mLease;
    private final DocumentCache mCache;
    private final Scheduler mControl;
    private final Clock mClock;
    private final EventLog mLog;
    private final Listener mListener;
    private final TermHistory mHistory;
    private final ReelectionPolicy mReelection;

    /** The current term; kept until {@link #endTerm}, even if the lease is lost. */
    private volatile Optional<Term> mTerm = Optional.empty();

    private Deadline mNextClaim = new Deadline(0);

    /** When this process first saw that the key may be claimed; -1 while it may not be. */
    private long mClaimableSinceMillis = -1;

    private boolean mClaiming;
    private boolean mResigned;

    /**
     * A term of this process. Immutable.
     *
     * @param lease lease that the controller key was bound to when the term began
     */
    private record Term(long fencingNumber, Optional<Long> lease) {}

    /**
     * Receives a notification when a term of this process begins or ends. Called on the control
     * thread.
     */
    public interface Listener {
        /**
         * Called when a term has begun.
         *
         * @param fencingNumber fencing number of the term
         */
        void onTermBegan(long fencingNumber);

        /** Called when the term has ended. */
        void onTermEnded();
    }

    /**
     * @param self registration of this process
     * @param reelectionMillis shortest time between two orders of an instance if another instance
     *     has given orders in between
     * @param clock a monotonic clock
     */
    public Election(
            ClusterMember self,
            long reelectionMillis,
            KeyValueStore store,
            ProcessLease lease,
            DocumentCache cache,
            Scheduler control,
            Clock clock,
            EventLog log,
            Listener listener) {
        mSelf = self;
        mStore = store;
        mLease = lease;
        mCache = cache;
        mControl = control;
        mClock = clock;
        mLog = log;
        mListener = listener;
        mHistory = new TermHistory(store, control);
        mReelection = new ReelectionPolicy(self.id(), reelectionMillis, clock.nowMillis());
    }

    /** Returns the last known controller, which may be this process. */
    public Optional<ClusterMember> controller() {
        return controllerDocument()
                .flatMap(document -> Json.read(document.value(), ClusterMember.class));
    }

    private Optional<KeyValue> controllerDocument() {
        return mCache.find(ClusterKeys.CONTROLLER)
                .filter(document -> !StoreFollower.isTombstone(document));
    }

    @Override
    public Optional<Long> fencingNumber() {
        return mTerm.filter(term -> mLease.id().equals(term.lease())).map(Term::fencingNumber);
    }

    @Override
    public String holder() {
        return mSelf.id();
    }

    @Override
    public void onFenced() {
        endTerm("an engine has accepted an order of a later term");
    }

    /**
     * Ends the term if the lease or the controller key is lost. Outside a term, tries to begin one
     * if this process is a candidate that holds its lease, the key is absent or was written by this
     * instance in an earlier term, and a claim is due.
     *
     * @param isCandidate whether this process may become the controller
     * @param rank position of this process among the candidates, 0 first
     */
    public void step(boolean isCandidate, int rank) {
        if (mTerm.isPresent() && fencingNumber().isEmpty()) {
            endTerm("the lease is not held");
        }
        if (mTerm.isPresent() && isSuperseded()) {
            endTerm("the controller key has changed");
        }
        long now = mClock.nowMillis();
        if (mTerm.isPresent()) {
            mClaimableSinceMillis = -1;
            mHistory.settleIfDue(now);
            return;
        }
        Optional<KeyValue> controllerDocument = controllerDocument();
        if (!controllerDocument.map(this::wasWrittenByThisInstance).orElse(true)) {
            mClaimableSinceMillis = -1;
            return;
        }
        if (mClaimableSinceMillis < 0) {
            mClaimableSinceMillis = now;
        }
        boolean due =
                now >= mClaimableSinceMillis + rank * RANK_DELAY_MILLIS
                        && mNextClaim.isPast(now)
                        && mReelection.areEarlierLeasesOver(now);
        if (isCandidate && due && !mClaiming && !mResigned && mLease.isHeld()) {
            beginClaim(controllerDocument.map(KeyValue::revision).orElse(KeyValueStore.ABSENT));
        }
    }

    /**
     * Ends the term after the service was restored from a copy, since another process may find no
     * controller there. The process whose term it was claims the key again at once.
     */
    public void onStoreRestored() {
        boolean wasController = fencingNumber().isPresent();
        endTerm("the key-value service was restored from a copy");
        mReelection.onStoreRestored(wasController, mClock.nowMillis());
    }

    /** Whether the controller key was written or deleted after this process's term began. */
    private boolean isSuperseded() {
        return mCache.revision(ClusterKeys.CONTROLLER) > mTerm.get().fencingNumber();
    }

    /** Whether this instance wrote the key in an earlier term, for example before a restart. */
    private boolean wasWrittenByThisInstance(KeyValue document) {
        return Json.read(document.value(), ClusterMember.class)
                .map(member -> member.id().equals(mSelf.id()))
                .orElse(false);
    }

    /** Reads the last terms, and claims the controller key if a term may begin now. */
    private void beginClaim(long expectedRevision) {
        mClaiming = true;
        mHistory.read()
                .subscribe(
                        terms -> {
                            Deadline from = mReelection.mayBeginFrom(terms);
                            if (from.isPast(mClock.nowMillis())) {
                                claim(expectedRevision, terms);
                            } else {
                                putOff(expectedRevision, from);
                            }
                        },
                        e -> endClaim());
    }

    /** Leaves the controller key to other processes for a while. */
    private void putOff(long ownRevision, Deadline until) {
        mClaiming = false;
        mNextClaim = until;
        mLog.write("controller.put_off", "ms", until.remainingMillis(mClock.nowMillis()));
        if (ownRevision != KeyValueStore.ABSENT) {
            deleteClaim(ownRevision);
        }
    }

    private void endClaim() {
        mClaiming = false;
        mNextClaim = Deadline.after(mClock.nowMillis(), RETRY_MILLIS);
    }

    private void claim(long expectedRevision, TermRecord.Stored terms) {
        Optional<Long> lease = mLease.id();
        if (lease.isEmpty()) {
            endClaim();
            return;
        }
        byte[] value = Json.write(mSelf);
        mStore.compareAndSwap(ClusterKeys.CONTROLLER, expectedRevision, value, lease.get())
                .observeOn(mControl)
                .subscribe(result -> onClaimResult(value, lease, terms, result), e -> endClaim());
    }

    private void onClaimResult(
            byte[] value, Optional<Long> lease, TermRecord.Stored terms, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            onClaimed(
                    new KeyValue(ClusterKeys.CONTROLLER, value, swapped.revision()), lease, terms);
        } else if (result instanceof SwapResult.Conflict conflict) {
            // The key has this value if an earlier claim took effect but its reply was lost.
            boolean isOwnClaim =
                    conflict.current().map(kv -> Arrays.equals(kv.value(), value)).orElse(false);
            if (isOwnClaim && lease.equals(mLease.id())) {
                onClaimed(conflict.current().get(), lease, terms);
            } else {
                conflict.current().ifPresent(mCache::offer);
                endClaim();
            }
        } else {
            endClaim();
        }
    }

    /** Records the term that the claim of the key has won, before it begins. */
    private void onClaimed(KeyValue written, Optional<Long> lease, TermRecord.Stored terms) {
        if (!mayBegin()) {
            abandonClaim(written);
            return;
        }
        mCache.offer(written);
        mHistory.write(
                        terms,
                        mReelection.next(terms, written.revision()),
                        mReelection.settledFrom(mClock.nowMillis()))
                .subscribe(result -> onRecorded(written, lease, result), e -> endClaim());
    }

    private void onRecorded(KeyValue written, Optional<Long> lease, SwapResult result) {
        if (!mayBegin() || result instanceof SwapResult.Conflict) {
            abandonClaim(written);
        } else if (result instanceof SwapResult.Swapped) {
            endClaim();
            beginTerm(written, lease);
        } else {
            // The next claim replaces this one.
            endClaim();
        }
    }

    private boolean mayBegin() {
        return !mResigned && mReelection.areEarlierLeasesOver(mClock.nowMillis());
    }

    /** Gives the controller key back, so that any candidate can claim it. */
    private void abandonClaim(KeyValue written) {
        deleteClaim(written.revision());
        endClaim();
    }

    private void beginTerm(KeyValue written, Optional<Long> lease) {
        mTerm = Optional.of(new Term(written.revision(), lease));
        mClaimableSinceMillis = -1;
        mLog.write("controller.began", "fence", written.revision(), "lease", lease.orElse(0L));
        mListener.onTermBegan(written.revision());
    }

    private void endTerm(String reason) {
        if (mTerm.isPresent()) {
            mLog.write("controller.ended", "fence", mTerm.get().fencingNumber(), "reason", reason);
            mTerm = Optional.empty();
            mReelection.onTermEnded(mClock.nowMillis());
            mListener.onTermEnded();
        }
    }

    /**
     * Makes no further claims. Ends the term, if there is one, and deletes the controller key, so
     * that another process can claim it before the lease of this process ends. Called before the
     * process stops.
     */
    public void resign() {
        mResigned = true;
        Optional<Term> term = mTerm;
        endTerm("the process is stopping");
        term.map(Term::fencingNumber).ifPresent(this::deleteClaim);
    }

    private void deleteClaim(long revision) {
        mStore.delete(ClusterKeys.CONTROLLER, revision).onErrorComplete().subscribe();
    }
}

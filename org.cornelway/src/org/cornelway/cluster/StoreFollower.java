package org.cornelway.cluster;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.Change;
import org.cornelway.platform.ChangeFeed;
import org.cornelway.platform.ChangePage;
import org.cornelway.platform.HistoryLostException;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
import org.cornelway.supervisor.Component;

/**
 * Keeps the cached documents under one prefix up to date from the key-value service.
 *
 * <p>Lists the keys under the prefix once, then watches for changes. Lists them again if the
 * service no longer has all changes since the last known revision. A deleted key is kept as a
 * tombstone, a document with an empty value, so that a peer cannot bring back an older value.
 *
 * <p>A service that was silent for a moment may never answer the calls of that time. So a call in
 * flight is replaced as soon as another call shows that the service is available again, and the
 * keys are listed after a watch without response, since a service may answer all calls but watches.
 * Confined to the control thread.
 */
public final class StoreFollower implements Component {
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final byte[] TOMBSTONE = new byte[0];

    private final Keys mKeys;
    private final ChangeFeed mFeed;
    private final DocumentCache mCache;
    private final StoreHealth mHealth;
    private final Scheduler mControl;
    private final Random mRandom;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final SerialDisposable mPendingCall = new SerialDisposable();

    /** Revision up to which all changes are applied; -1 if the keys must be listed first. */
    private long mRevision = -1;

    private int mConsecutiveFailures;

    /** When the last call was sent. */
    private long mSentMillis;

    /** Whether a call is in flight or waits to be repeated after a failure. */
    private boolean mWaitsForResponse;

    /**
     * The keys to follow. Immutable.
     *
     * @param prefix prefix of the keys
     * @param waitMillis longest wait of one watch call. It bounds how long changes go unnoticed if
     *     the service has lost the call and no other call has failed.
     * @param pauseMillis pause after a page with changes, so that the next page combines the
     *     changes made meanwhile
     */
    public record Keys(String prefix, long waitMillis, long pauseMillis) {}

    /**
     * @param keys the keys to follow
     */
    public StoreFollower(
            Keys keys,
            ChangeFeed feed,
            DocumentCache cache,
            StoreHealth health,
            Scheduler control,
            Random random,
            EventLog log,
            MetricRegistry metrics) {
        mKeys = keys;
        mFeed = feed;
        mCache = cache;
        mHealth = health;
        mControl = control;
        mRandom = random;
        mLog = log;
        mMetrics = metrics;
    }

    /** Whether a document is the tombstone of a deleted key. */
    public static boolean isTombstone(KeyValue document) {
        return document.value().length == 0;
    }

    @Override
    public String name() {
        return "store-follower " + mKeys.prefix();
    }

    @Override
    public Completable start() {
        return Completable.fromAction(() -> mControl.scheduleDirect(this::listOrWatch));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(mPendingCall::dispose);
    }

    /**
     * Sends the call in flight, or the next one after a failure, again without delay. Called when
     * the service has answered a call after others had failed.
     */
    public void onServiceRecovered() {
        if (mWaitsForResponse) {
            mMetrics.counter("store.restarts").inc();
            listOrWatch();
        }
    }

    private void listOrWatch() {
        mSentMillis = now();
        mWaitsForResponse = true;
        mMetrics.counter(mRevision < 0 ? "store.lists" : "store.watches").inc();
        Single<ChangePage> call =
                mRevision < 0
                        ? mFeed.listAll(mKeys.prefix())
                        : mFeed.changes(mKeys.prefix(), mRevision, mKeys.waitMillis());
        mPendingCall.set(call.observeOn(mControl).subscribe(this::apply, this::onFailure));
    }

    private void apply(ChangePage page) {
        mConsecutiveFailures = 0;
        mWaitsForResponse = false;
        mHealth.recordSuccess();
        page.changes().forEach(this::offer);
        if (page.complete()) {
            deleteMissing(page);
        }
        mRevision = Math.max(mRevision, page.revision());
        scheduleNext(page.changes().isEmpty() ? 0 : mKeys.pauseMillis());
    }

    private void offer(Change change) {
        long cached = mCache.revision(change.key());
        if (change.revision() < cached) {
            mLog.write(
                    "document.outdated",
                    "key",
                    change.key(),
                    "revision",
                    change.revision(),
                    "cached",
                    cached);
        }
        mCache.offer(
                new KeyValue(change.key(), change.value().orElse(TOMBSTONE), change.revision()));
    }

    /** Replaces cached documents that are missing from a listing with tombstones. */
    private void deleteMissing(ChangePage page) {
        Set<String> present = new HashSet<>();
        page.changes().forEach(change -> present.add(change.key()));
        for (KeyValue document : mCache.all()) {
            boolean missing =
                    document.key().startsWith(mKeys.prefix()) && !present.contains(document.key());
            if (missing && !isTombstone(document)) {
                mCache.offer(new KeyValue(document.key(), TOMBSTONE, page.revision()));
            }
        }
    }

    private void onFailure(Throwable e) {
        if (e instanceof HistoryLostException) {
            // The service has replied, so it is available.
            mWaitsForResponse = false;
            mHealth.recordSuccess();
            mRevision = -1;
            scheduleNext(0);
            return;
        }
        mLog.write(
                "store.read_failed",
                "prefix",
                mKeys.prefix(),
                "after",
                mRevision,
                "waited_ms",
                now() - mSentMillis,
                "reason",
                String.valueOf(e.getMessage()));
        boolean isUnanswered = now() - mSentMillis >= mKeys.waitMillis();
        if (isUnanswered && !mHealth.isUnavailable()) {
            mRevision = -1;
        }
        mHealth.recordFailure(mKeys.prefix(), e);
        long millis =
                Math.min(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(mConsecutiveFailures, 5));
        mConsecutiveFailures++;
        scheduleNext(millis + mRandom.nextInt((int) FIRST_RETRY_MILLIS));
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    private void scheduleNext(long millis) {
        mPendingCall.set(mControl.scheduleDirect(this::listOrWatch, millis, TimeUnit.MILLISECONDS));
    }
}

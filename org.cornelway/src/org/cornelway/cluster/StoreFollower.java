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
import org.cornelway.platform.Change;
import org.cornelway.platform.ChangeFeed;
import org.cornelway.platform.ChangePage;
import org.cornelway.platform.HistoryLostException;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
import org.cornelway.supervisor.Component;

/**
 * Keeps the documents under one prefix current from the key-value service.
 *
 * <p>Lists once, then waits for changes; lists again when the history is lost. A key that ended is
 * kept as a document without bytes, so that an older value cannot come back from a peer. Confined
 * to the control thread.
 */
public final class StoreFollower implements Component {
    /** Longest wait of one call; the service allows 30 s. */
    private static final long WAIT_MILLIS = 20_000;

    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long LAST_RETRY_MILLIS = 1_000;
    private static final byte[] ENDED = new byte[0];

    private final String mPrefix;
    private final long mPauseMillis;
    private final ChangeFeed mFeed;
    private final DocumentCache mCache;
    private final StoreHealth mHealth;
    private final Scheduler mControl;
    private final Random mRandom;
    private final MetricRegistry mMetrics;
    private final SerialDisposable mNext = new SerialDisposable();
    private long mRevision = -1;
    private int mFailures;

    /**
     * @param pauseMillis pause after changes, within which more are gathered into one answer
     */
    public StoreFollower(
            String prefix,
            long pauseMillis,
            ChangeFeed feed,
            DocumentCache cache,
            StoreHealth health,
            Scheduler control,
            Random random,
            MetricRegistry metrics) {
        mPrefix = prefix;
        mPauseMillis = pauseMillis;
        mFeed = feed;
        mCache = cache;
        mHealth = health;
        mControl = control;
        mRandom = random;
        mMetrics = metrics;
    }

    /** Whether a key ended. */
    public static boolean isTombstone(KeyValue document) {
        return document.value().length == 0;
    }

    @Override
    public String name() {
        return "store-follower " + mPrefix;
    }

    @Override
    public Completable start() {
        return Completable.fromAction(() -> mControl.scheduleDirect(this::follow));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(mNext::dispose);
    }

    private void follow() {
        mMetrics.counter(mRevision < 0 ? "store.lists" : "store.watches").inc();
        Single<ChangePage> call =
                mRevision < 0
                        ? mFeed.snapshot(mPrefix)
                        : mFeed.changes(mPrefix, mRevision, WAIT_MILLIS);
        mNext.set(call.observeOn(mControl).subscribe(this::take, this::failed));
    }

    private void take(ChangePage page) {
        mFailures = 0;
        mHealth.recordSuccess();
        page.changes().forEach(this::offer);
        if (page.complete()) {
            endMissing(page);
        }
        mRevision = Math.max(mRevision, page.revision());
        again(page.changes().isEmpty() ? 0 : mPauseMillis);
    }

    private void offer(Change change) {
        mCache.offer(new KeyValue(change.key(), change.value().orElse(ENDED), change.revision()));
    }

    private void endMissing(ChangePage page) {
        Set<String> present = new HashSet<>();
        page.changes().forEach(change -> present.add(change.key()));
        for (KeyValue held : mCache.all()) {
            boolean missing = held.key().startsWith(mPrefix) && !present.contains(held.key());
            if (missing && !isTombstone(held)) {
                mCache.offer(new KeyValue(held.key(), ENDED, page.revision()));
            }
        }
    }

    private void failed(Throwable e) {
        if (e instanceof HistoryLostException) {
            mHealth.recordSuccess();
            mRevision = -1;
            again(0);
            return;
        }
        mHealth.recordFailure(mPrefix, e);
        long millis = Math.min(LAST_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(mFailures, 5));
        mFailures++;
        again(millis + mRandom.nextInt((int) FIRST_RETRY_MILLIS));
    }

    private void again(long millis) {
        mNext.set(mControl.scheduleDirect(this::follow, millis, TimeUnit.MILLISECONDS));
    }
}

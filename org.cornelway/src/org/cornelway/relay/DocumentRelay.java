package org.cornelway.relay;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.platform.KeyRevision;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.GuardedTask;

/**
 * Keeps the cached documents of this process up to date.
 *
 * <p>Only a few processes watch the key-value service. When a document changes in the cache of a
 * process, the process synchronizes with a few random peers. Each process also synchronizes with
 * one random peer at a slow, constant rate. A process reads the service itself when it starts, and
 * then periodically while it has not yet read its placement document from the service, while it
 * watches the service, or while no peer replies. In the steady state the load on the service
 * therefore does not grow with the number of processes.
 *
 * <p>Confined to the control thread, except for {@link #fetchIfNewer}.
 */
public final class DocumentRelay implements Component {
    private static final Logger LOG = LogManager.getLogger(DocumentRelay.class);

    /**
     * Shortest time between two attempts to watch; after a watch that failed, a random time up to
     * the same length is added.
     */
    private static final long WATCH_RETRY_MILLIS = 1_000;

    /** Time without a reply from any peer after which the process reads the service itself. */
    private static final long NO_REPLY_MILLIS = 5_000;

    /** Shortest time between two periodic reads; a random time up to the same length is added. */
    private static final long MIN_READ_INTERVAL_MILLIS = 1_000;

    /** Time after a fetch during which {@link #fetchIfNewer} does nothing. */
    private static final long FETCH_INTERVAL_MILLIS = 200;

    private static final String WATCH_PURPOSE = "watch";

    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final DocumentSynchronizer mSynchronizer;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final RelaySettings mSettings;
    private final Random mRandom;
    private final MetricRegistry mMetrics;
    private final CompositeDisposable mTasks = new CompositeDisposable();
    private Optional<Disposable> mWatch = Optional.empty();
    private long mNextWatchMillis;
    private long mNextReadMillis;
    private long mLastReplyMillis;
    private long mNextFetchMillis;

    /**
     * @param random chooses peers and varies the times of periodic tasks; seeded in tests
     */
    public DocumentRelay(
            DocumentCache cache,
            MemberTable members,
            PeerClient peers,
            KeyValueStore store,
            Scheduler control,
            RelaySettings settings,
            Random random,
            MetricRegistry metrics) {
        mCache = cache;
        mMembers = members;
        mSynchronizer =
                new DocumentSynchronizer(
                        peers,
                        new RelayMessages(members.selfId(), cache),
                        control,
                        metrics,
                        () -> mLastReplyMillis = now());
        mStore = store;
        mControl = control;
        mSettings = settings;
        mRandom = random;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return "document-relay";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () -> {
                    mLastReplyMillis = now();
                    mTasks.add(
                            mCache.changes()
                                    .observeOn(mControl)
                                    .subscribe(this::synchronizeWithRandomPeers));
                    long period = mSettings.antiEntropyMillis();
                    long initialDelay = mRandom.nextInt((int) period);
                    mTasks.add(
                            mControl.schedulePeriodicallyDirect(
                                    new GuardedTask("document relay", mMetrics, this::tick),
                                    initialDelay,
                                    period,
                                    TimeUnit.MILLISECONDS));
                    mControl.scheduleDirect(this::readStore);
                });
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(
                () -> {
                    mTasks.dispose();
                    mWatch.ifPresent(Disposable::dispose);
                });
    }

    /**
     * Fetches documents from another process if some process has a newer revision of a document
     * than this process has. A call within 200 ms of the previous fetch is ignored. Thread-safe.
     *
     * @param key key of the document
     * @param revision revision of the document that some process is known to have
     * @param source the process to fetch from; if empty, a random peer
     */
    public void fetchIfNewer(String key, long revision, Optional<Member> source) {
        mControl.scheduleDirect(
                () -> {
                    boolean isBehind = revision > mCache.revision(key);
                    if (isBehind && now() >= mNextFetchMillis) {
                        mNextFetchMillis = now() + FETCH_INTERVAL_MILLIS;
                        source.or(this::randomPeer).ifPresent(this::synchronize);
                    }
                });
    }

    private void tick() {
        randomPeer().ifPresent(this::synchronize);
        boolean isWatcher =
                mMembers.isSelfSelected(WATCH_PURPOSE, mSettings.watchers(), Optional.empty());
        if (isWatcher && mWatch.isEmpty() && now() >= mNextWatchMillis) {
            watch();
        } else if (!isWatcher && mWatch.isPresent()) {
            mWatch.get().dispose();
            mWatch = Optional.empty();
        }
        boolean isIsolated = now() - mLastReplyMillis > NO_REPLY_MILLIS;
        boolean isUnverified = !mCache.isVerified(DocumentKeys.PLACEMENT);
        // A watcher also reads, because its watch may have stopped delivering without an error.
        if ((isIsolated || isUnverified || isWatcher) && now() >= mNextReadMillis) {
            readStore();
        }
    }

    private void readStore() {
        mNextReadMillis =
                now() + MIN_READ_INTERVAL_MILLIS + mRandom.nextInt((int) MIN_READ_INTERVAL_MILLIS);
        mStore.revisions(DocumentKeys.PREFIX)
                .flatMap(this::readNewer)
                .observeOn(mControl)
                .subscribe(
                        this::markVerified,
                        e -> LOG.warn("could not read the key-value service: {}", e.getMessage()));
    }

    /** Reads the documents whose stored revision is newer than the cached one. */
    private Single<List<KeyValue>> readNewer(List<KeyRevision> stored) {
        return Flowable.fromIterable(stored)
                .filter(each -> each.revision() > mCache.revision(each.key()))
                .flatMapSingle(each -> mStore.get(each.key()))
                .flatMap(kv -> Flowable.fromStream(kv.stream()))
                .toList();
    }

    /**
     * Marks the documents as verified: the cached ones are now at least as new as those that were
     * stored when the read began.
     */
    private void markVerified(List<KeyValue> documents) {
        documents.forEach(mCache::offerVerified);
        mCache.markVerified(DocumentKeys.CONFIGURATION);
        mCache.markVerified(DocumentKeys.PLACEMENT);
    }

    private void watch() {
        mNextWatchMillis = now() + WATCH_RETRY_MILLIS;
        long after = mCache.all().stream().mapToLong(KeyValue::revision).max().orElse(0);
        mWatch =
                Optional.of(
                        mStore.watch(DocumentKeys.PREFIX, after)
                                .observeOn(mControl)
                                .subscribe(mCache::offerVerified, this::onWatchEnded));
        // The watch delivers only writes after the newest cached revision; this read finds older
        // writes to documents that are cached in an earlier revision or not at all.
        readStore();
    }

    private void onWatchEnded(Throwable e) {
        LOG.warn("watch of the key-value service ended: {}", e.getMessage());
        mWatch = Optional.empty();
        mNextWatchMillis = now() + WATCH_RETRY_MILLIS + mRandom.nextInt((int) WATCH_RETRY_MILLIS);
    }

    private void synchronizeWithRandomPeers(KeyValue changed) {
        List<Member> peers = new ArrayList<>(mMembers.peers());
        Collections.shuffle(peers, mRandom);
        peers.stream().limit(mSettings.fanOut()).forEach(this::synchronize);
    }

    private void synchronize(Member peer) {
        mSynchronizer.synchronize(peer);
    }

    private Optional<Member> randomPeer() {
        List<Member> peers = mMembers.peers();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(mRandom.nextInt(peers.size())));
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Returns the revisions of the cached documents, by key. */
    public Map<String, Long> revisions() {
        Map<String, Long> revisions = new HashMap<>();
        mCache.all().forEach(document -> revisions.put(document.key(), document.revision()));
        return revisions;
    }
}

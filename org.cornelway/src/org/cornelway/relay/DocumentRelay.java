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

/**
 * Keeps this process's documents current.
 *
 * <p>A few processes watch the key-value service. Each process announces a document that is new to
 * it to a few random peers and sends it to those that lack it, and exchanges revisions with one
 * random peer at a steady slow rate. A process that hears of no peer reads the service itself. Load
 * on the service therefore does not grow with the fleet.
 *
 * <p>Confined to the control thread.
 */
public final class DocumentRelay implements Component {
    private static final Logger LOG = LogManager.getLogger(DocumentRelay.class);
    private static final long WATCH_RETRY_MILLIS = 1_000;
    private static final long ALONE_MILLIS = 5_000;
    private static final long READ_MILLIS = 1_000;
    private static final long HINT_INTERVAL_MILLIS = 200;
    private static final String WATCH_PURPOSE = "watch";

    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final DocumentSynchronizer mExchanges;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final RelaySettings mSettings;
    private final Random mRandom;
    private final CompositeDisposable mTasks = new CompositeDisposable();
    private Optional<Disposable> mWatch = Optional.empty();
    private long mNextWatchMillis;
    private long mNextReadMillis;
    private long mLastHeardMillis;
    private long mNextHintMillis;

    /**
     * @param random source of peer choices; seeded in tests
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
        mExchanges =
                new DocumentSynchronizer(
                        peers,
                        new RelayMessages(members.self(), cache),
                        control,
                        metrics,
                        () -> mLastHeardMillis = now());
        mStore = store;
        mControl = control;
        mSettings = settings;
        mRandom = random;
    }

    @Override
    public String name() {
        return "document-relay";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () -> {
                    mLastHeardMillis = now();
                    mTasks.add(mCache.changes().observeOn(mControl).subscribe(this::announce));
                    long period = mSettings.antiEntropyMillis();
                    long first = mRandom.nextInt((int) period);
                    mTasks.add(
                            mControl.schedulePeriodicallyDirect(
                                    this::tick, first, period, TimeUnit.MILLISECONDS));
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

    /** Notes that another process holds a newer revision, and fetches it from there. */
    public void fetchIfNewer(String key, long revision, Optional<Member> holder) {
        mControl.scheduleDirect(
                () -> {
                    boolean behind = revision > mCache.revision(key);
                    if (behind && now() >= mNextHintMillis) {
                        mNextHintMillis = now() + HINT_INTERVAL_MILLIS;
                        holder.or(this::randomPeer).ifPresent(this::exchange);
                    }
                });
    }

    private void tick() {
        randomPeer().ifPresent(this::exchange);
        boolean watcher =
                mMembers.isSelected(WATCH_PURPOSE, mSettings.watchers(), Optional.empty());
        if (watcher && mWatch.isEmpty() && now() >= mNextWatchMillis) {
            watch();
        } else if (!watcher && mWatch.isPresent()) {
            mWatch.get().dispose();
            mWatch = Optional.empty();
        }
        boolean alone = now() - mLastHeardMillis > ALONE_MILLIS;
        boolean unverified = !mCache.isVerified(DocumentKeys.PLACEMENT);
        // A watcher reads as well, because its watch may have gone silent.
        if ((alone || unverified || watcher) && now() >= mNextReadMillis) {
            readStore();
        }
    }

    private void readStore() {
        mNextReadMillis = now() + READ_MILLIS + mRandom.nextInt((int) READ_MILLIS);
        mStore.revisions(DocumentKeys.PREFIX)
                .flatMap(this::newer)
                .observeOn(mControl)
                .subscribe(
                        this::verified,
                        e -> LOG.warn("key-value service not read: {}", e.getMessage()));
    }

    /** Reads the documents of which a newer revision is stored than is held. */
    private Single<List<KeyValue>> newer(List<KeyRevision> stored) {
        return Flowable.fromIterable(stored)
                .filter(each -> each.revision() > mCache.revision(each.key()))
                .flatMapSingle(each -> mStore.get(each.key()))
                .flatMap(kv -> Flowable.fromStream(kv.stream()))
                .toList();
    }

    /** What is held now is no older than what was stored when the read began. */
    private void verified(List<KeyValue> documents) {
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
                                .subscribe(mCache::offerVerified, this::watchEnded));
        // A watch from the newest revision held misses an older write to another key.
        readStore();
    }

    private void watchEnded(Throwable e) {
        LOG.warn("watch ended: {}", e.getMessage());
        mWatch = Optional.empty();
        mNextWatchMillis = now() + WATCH_RETRY_MILLIS + mRandom.nextInt((int) WATCH_RETRY_MILLIS);
    }

    private void announce(KeyValue document) {
        List<Member> peers = new ArrayList<>(mMembers.peers());
        Collections.shuffle(peers, mRandom);
        peers.stream().limit(mSettings.fanOut()).forEach(this::exchange);
    }

    private void exchange(Member peer) {
        mExchanges.synchronize(peer);
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

    /** Revisions held, for reports. */
    public Map<String, Long> revisions() {
        Map<String, Long> revisions = new HashMap<>();
        mCache.all().forEach(document -> revisions.put(document.key(), document.revision()));
        return revisions;
    }
}

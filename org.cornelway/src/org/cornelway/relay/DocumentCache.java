package org.cornelway.relay;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValue;

/**
 * Caches the newest known revision of each document.
 *
 * <p>Invariant: the revision of a document never decreases. Thread-safe; changes are emitted in the
 * order they were applied.
 */
public final class DocumentCache {
    private final Map<String, KeyValue> mDocuments = new TreeMap<>();

    /**
     * Newest revision read from the key-value service for each verified document, by key; 0 if the
     * read found none newer than the cached one.
     */
    private final Map<String, Long> mVerified = new TreeMap<>();

    private final FlowableProcessor<KeyValue> mChanges =
            PublishProcessor.<KeyValue>create().toSerialized();
    private final Invariants mInvariants;
    private final MetricRegistry mMetrics;

    /**
     * @param metrics registry that counts {@code documents.applied} and {@code documents.stale}
     */
    public DocumentCache(Invariants invariants, MetricRegistry metrics) {
        mInvariants = invariants;
        mMetrics = metrics;
    }

    /** Stores a document if it is newer than the cached one; returns true if it was stored. */
    public synchronized boolean offer(KeyValue document) {
        long cached = revision(document.key());
        if (document.revision() <= cached) {
            mMetrics.counter("documents.stale").inc();
            return false;
        }
        KeyValue before = mDocuments.put(document.key(), document);
        mInvariants.check(
                before == null || before.revision() < document.revision(),
                "revision of document " + document.key() + " decreased to " + document.revision());
        mMetrics.counter("documents.applied").inc();
        mChanges.onNext(document);
        return true;
    }

    /**
     * Stores a document that was read from the key-value service itself if it is newer than the
     * cached one, and marks it as verified; returns true if it was stored.
     */
    public synchronized boolean offerVerified(KeyValue document) {
        mVerified.merge(document.key(), document.revision(), Math::max);
        return offer(document);
    }

    /** Records that a read of the key-value service found no newer revision than the cached one. */
    public synchronized void markVerified(String key) {
        mVerified.putIfAbsent(key, 0L);
    }

    /**
     * Whether the document was read from the key-value service since this process started. The
     * cached revision is then no older than any that an earlier process on this instance acted on.
     */
    public synchronized boolean isVerified(String key) {
        return mVerified.containsKey(key);
    }

    /** Returns the cached document; empty if there is none. */
    public synchronized Optional<KeyValue> find(String key) {
        return Optional.ofNullable(mDocuments.get(key));
    }

    /** Returns the revision of the cached document, or 0 if there is none. */
    public synchronized long revision(String key) {
        KeyValue cached = mDocuments.get(key);
        return cached == null ? 0 : cached.revision();
    }

    /** Returns all cached documents, ordered by key. */
    public synchronized List<KeyValue> all() {
        return new ArrayList<>(mDocuments.values());
    }

    /** Emits each document that is stored from now on. */
    public Flowable<KeyValue> changes() {
        return mChanges.onBackpressureBuffer();
    }
}

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
 * Holds the newest known revision of each document.
 *
 * <p>Invariant: the revision of a document only rises. Thread-safe; changes are emitted in the
 * order they were applied.
 */
public final class DocumentCache {
    private final Map<String, KeyValue> mDocuments = new TreeMap<>();
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

    /** Takes a document over if it is newer than the one held; true if so. */
    public synchronized boolean offer(KeyValue document) {
        long held = revision(document.key());
        if (document.revision() <= held) {
            mMetrics.counter("documents.stale").inc();
            return false;
        }
        KeyValue before = mDocuments.put(document.key(), document);
        mInvariants.check(
                before == null || before.revision() < document.revision(),
                "document " + document.key() + " fell back to revision " + document.revision());
        mMetrics.counter("documents.applied").inc();
        mChanges.onNext(document);
        return true;
    }

    /** Takes over a document that was read from the key-value service itself. */
    public synchronized boolean offerVerified(KeyValue document) {
        mVerified.merge(document.key(), document.revision(), Math::max);
        return offer(document);
    }

    /** Notes that the key-value service was read and held no newer revision than is held here. */
    public synchronized void markVerified(String key) {
        mVerified.putIfAbsent(key, 0L);
    }

    /**
     * Whether the document was read from the key-value service since this process started. What is
     * held is then no older than anything an earlier process on this instance acted on.
     */
    public synchronized boolean isVerified(String key) {
        return mVerified.containsKey(key);
    }

    /** The document held. */
    public synchronized Optional<KeyValue> find(String key) {
        return Optional.ofNullable(mDocuments.get(key));
    }

    /** Revision of the document held, 0 if none. */
    public synchronized long revision(String key) {
        KeyValue held = mDocuments.get(key);
        return held == null ? 0 : held.revision();
    }

    /** All documents held, ordered by key. */
    public synchronized List<KeyValue> all() {
        return new ArrayList<>(mDocuments.values());
    }

    /** Emits each document that is taken over from now on. */
    public Flowable<KeyValue> changes() {
        return mChanges.onBackpressureBuffer();
    }
}

package org.cornelway.internal.platform;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import org.cornelway.platform.KeyRevision;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * Key-value store that delegates to another one, counts the calls by kind and records whether the
 * last call was answered.
 *
 * <p>Thread-safe.
 */
public final class MeteredKeyValueStore implements KeyValueStore {
    private final KeyValueStore mStore;
    private final MetricRegistry mMetrics;
    private volatile boolean mUp;

    /**
     * @param metrics registry that gets the counters {@code kv.reads}, {@code kv.writes}, {@code
     *     kv.leases}, {@code kv.watches} and {@code kv.failures}
     */
    public MeteredKeyValueStore(KeyValueStore store, MetricRegistry metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    /**
     * Returns whether the last call that ended was answered; false before the first one. Watches
     * are not taken into account.
     */
    public boolean isUp() {
        return mUp;
    }

    @Override
    public Single<Optional<KeyValue>> get(String key) {
        return meter("kv.reads", mStore.get(key));
    }

    @Override
    public Single<List<KeyValue>> list(String prefix) {
        return meter("kv.reads", mStore.list(prefix));
    }

    @Override
    public Single<List<KeyRevision>> revisions(String prefix) {
        return meter("kv.reads", mStore.revisions(prefix));
    }

    @Override
    public Single<SwapResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        return meter("kv.writes", mStore.compareAndSwap(key, expectedRevision, value, leaseId))
                .doOnSuccess(this::recordSwap);
    }

    @Override
    public Completable delete(String key, long expectedRevision) {
        return meter("kv.writes", mStore.delete(key, expectedRevision).toSingleDefault(true))
                .ignoreElement();
    }

    @Override
    public Single<Long> grantLease(long ttlSeconds) {
        return meter("kv.leases", mStore.grantLease(ttlSeconds));
    }

    @Override
    public Single<Boolean> keepAlive(long leaseId) {
        return meter("kv.leases", mStore.keepAlive(leaseId));
    }

    @Override
    public Completable revokeLease(long leaseId) {
        return meter("kv.leases", mStore.revokeLease(leaseId).toSingleDefault(true))
                .ignoreElement();
    }

    @Override
    public Flowable<KeyValue> watch(String prefix, long afterRevision) {
        return mStore.watch(prefix, afterRevision)
                .doOnSubscribe(subscription -> mMetrics.counter("kv.watches").inc());
    }

    private <T> Single<T> meter(String name, Single<T> call) {
        return call.doOnSubscribe(subscription -> mMetrics.counter(name).inc())
                .doOnSuccess(value -> mUp = true)
                .doOnError(
                        e -> {
                            mUp = false;
                            mMetrics.counter("kv.failures").inc();
                        });
    }

    private void recordSwap(SwapResult result) {
        boolean answered =
                result instanceof SwapResult.Swapped || result instanceof SwapResult.Conflict;
        mUp = answered;
        if (!answered) {
            mMetrics.counter("kv.failures").inc();
        }
    }
}

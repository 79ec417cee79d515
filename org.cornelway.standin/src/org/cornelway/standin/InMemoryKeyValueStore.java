package org.cornelway.standin;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelway.platform.KeyRevision;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * An in-memory key-value service for tests in virtual time, with configurable delays and failures.
 *
 * <p>The events of a watch are never lost and always arrive after 1 ms. Confined to the thread of
 * the scheduler.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
    private static final IOException UNAVAILABLE = new IOException("key-value service is down");

    private final KeyValueState mState;
    private final Scheduler mScheduler;
    private final Supplier<CallBehavior> mBehaviors;

    /**
     * How the service executes one call. Immutable.
     *
     * @param delayMillis time until the call takes effect, and again until its response arrives
     * @param requestLost whether the request is lost, so that the call never takes effect
     * @param responseLost whether the response is lost after the call took effect
     */
    public record CallBehavior(long delayMillis, boolean requestLost, boolean responseLost) {
        /** No loss, and a delay of 1 ms in each direction. */
        public static final CallBehavior NO_FAULT = new CallBehavior(1, false, false);
    }

    /**
     * @param behaviors supplies the behavior of each call; called once per call, when it starts
     */
    public InMemoryKeyValueStore(
            KeyValueState state, Scheduler scheduler, Supplier<CallBehavior> behaviors) {
        mState = state;
        mScheduler = scheduler;
        mBehaviors = behaviors;
    }

    private <T> Single<T> call(Supplier<T> effect) {
        return Single.defer(
                () -> {
                    CallBehavior behavior = mBehaviors.get();
                    Single<Long> delay =
                            Single.timer(behavior.delayMillis(), TimeUnit.MILLISECONDS, mScheduler);
                    if (behavior.requestLost()) {
                        return delay.flatMap(tick -> Single.error(UNAVAILABLE));
                    }
                    return delay.map(tick -> effect.get())
                            .delay(behavior.delayMillis(), TimeUnit.MILLISECONDS, mScheduler)
                            .flatMap(
                                    value ->
                                            behavior.responseLost()
                                                    ? Single.error(UNAVAILABLE)
                                                    : Single.just(value));
                });
    }

    @Override
    public Single<Optional<KeyValue>> get(String key) {
        return call(() -> mState.get(key));
    }

    @Override
    public Single<List<KeyValue>> list(String prefix) {
        return call(() -> mState.list(prefix));
    }

    @Override
    public Single<List<KeyRevision>> revisions(String prefix) {
        return call(
                () ->
                        mState.list(prefix).stream()
                                .map(kv -> new KeyRevision(kv.key(), kv.revision()))
                                .toList());
    }

    @Override
    public Single<SwapResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        return call(() -> mState.compareAndSwap(key, expectedRevision, value, leaseId))
                .onErrorReturn(e -> new SwapResult.Ambiguous(e.getMessage()));
    }

    @Override
    public Completable delete(String key, long expectedRevision) {
        return call(() -> mState.delete(key, expectedRevision)).ignoreElement();
    }

    @Override
    public Single<Long> grantLease(long ttlSeconds) {
        return call(() -> mState.grantLease(ttlSeconds));
    }

    @Override
    public Single<Boolean> keepAlive(long leaseId) {
        return call(() -> mState.keepAlive(leaseId));
    }

    @Override
    public Completable revokeLease(long leaseId) {
        return call(() -> {
                    mState.revokeLease(leaseId);
                    return true;
                })
                .ignoreElement();
    }

    @Override
    public Flowable<KeyValue> watch(String prefix, long afterRevision) {
        return Flowable.<KeyValue>create(
                        emitter ->
                                emitter.setCancellable(
                                        mState.watch(prefix, afterRevision, emitter::onNext)::run),
                        BackpressureStrategy.BUFFER)
                .delay(1, TimeUnit.MILLISECONDS, mScheduler);
    }
}

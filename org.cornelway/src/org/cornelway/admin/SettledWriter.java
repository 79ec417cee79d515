package org.cornelway.admin;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.cornelway.time.Deadline;

/**
 * Writes a value once and finds out what became of the write when its answer was lost.
 *
 * <p>The same conditional write is issued again until it is known: it takes effect at most once,
 * because its condition holds at most once. Confined to the control thread.
 */
final class SettledWriter {
    static final int MAX_VALUE_BYTES = 1_000_000;

    private static final long RETRY_MILLIS = 200;
    private static final long LIMIT_MILLIS = 4_000;

    private final KeyValueStore mStore;
    private final Scheduler mControl;

    SettledWriter(KeyValueStore store, Scheduler control) {
        mStore = store;
        mControl = control;
    }

    /**
     * Writes.
     *
     * @param changeId unique text in the value, kept by later values for some time
     */
    Single<Result<KeyValue>> write(String key, long revision, byte[] value, String changeId) {
        Deadline limit = Deadline.after(now(), LIMIT_MILLIS);
        return attempt(key, revision, value, changeId, limit, false);
    }

    private Single<Result<KeyValue>> attempt(
            String key,
            long revision,
            byte[] value,
            String changeId,
            Deadline limit,
            boolean inDoubt) {
        return mStore.compareAndSwap(key, revision, value, KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .flatMap(
                        result -> {
                            if (result instanceof SwapResult.Swapped swapped) {
                                return stored(new KeyValue(key, value, swapped.revision()));
                            }
                            if (result instanceof SwapResult.Conflict conflict) {
                                return conflict(conflict.current(), changeId, inDoubt);
                            }
                            boolean unsent = result instanceof SwapResult.NotSent && !inDoubt;
                            if (unsent) {
                                return failed(
                                        ResultCode.STORE_UNAVAILABLE,
                                        "the key-value service cannot be reached");
                            }
                            if (limit.isPast(now())) {
                                return failed(
                                        ResultCode.CHANGE_UNKNOWN,
                                        "change " + changeId + " may have been accepted");
                            }
                            return Single.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS, mControl)
                                    .flatMap(
                                            tick ->
                                                    attempt(
                                                            key, revision, value, changeId, limit,
                                                            true));
                        });
    }

    private static Single<Result<KeyValue>> conflict(
            Optional<KeyValue> current, String changeId, boolean inDoubt) {
        boolean ours = inDoubt && current.filter(kv -> contains(kv, changeId)).isPresent();
        if (ours) {
            return stored(current.get());
        }
        return failed(
                ResultCode.REVISION_CONFLICT,
                "another change was accepted first, at revision "
                        + current.map(KeyValue::revision).orElse(0L));
    }

    private static boolean contains(KeyValue kv, String changeId) {
        return new String(kv.value(), StandardCharsets.UTF_8).contains(changeId);
    }

    private static Single<Result<KeyValue>> stored(KeyValue kv) {
        return Single.just(Result.ok(kv));
    }

    private static Single<Result<KeyValue>> failed(ResultCode code, String message) {
        return Single.just(Result.failed(code, message));
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

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
final class IdempotentWriter {
    static final int MAX_VALUE_BYTES = 1_000_000;

    private static final long RETRY_MILLIS = 200;
    private static final long LIMIT_MILLIS = 4_000;

    private final KeyValueStore mStore;
    private final Scheduler mControl;

    IdempotentWriter(KeyValueStore store, Scheduler control) {
        mStore = store;
        mControl = control;
    }

    /**
     * Writes.
     *
     * @param changeId id of the audit entry in the value
     * @param archive where audit entries go that leave the value
     */
    Single<Result<KeyValue>> write(
            String key, long revision, byte[] value, String changeId, AuditArchive archive) {
        Deadline limit = Deadline.after(now(), LIMIT_MILLIS);
        return attempt(new Change(key, revision, value, changeId, archive, limit), false);
    }

    /** A change on its way. Immutable by convention. */
    private record Change(
            String key,
            long revision,
            byte[] value,
            String changeId,
            AuditArchive archive,
            Deadline limit) {}

    private Single<Result<KeyValue>> attempt(Change change, boolean inDoubt) {
        return mStore.compareAndSwap(
                        change.key(), change.revision(), change.value(), KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .flatMap(result -> settle(change, result, inDoubt));
    }

    private Single<Result<KeyValue>> settle(Change change, SwapResult result, boolean inDoubt) {
        if (result instanceof SwapResult.Swapped swapped) {
            return stored(new KeyValue(change.key(), change.value(), swapped.revision()));
        }
        if (result instanceof SwapResult.Conflict conflict) {
            return inDoubt
                    ? settleConflict(change, conflict.current())
                    : lostRace(conflict.current());
        }
        if (result instanceof SwapResult.NotSent && !inDoubt) {
            return failed(ResultCode.STORE_UNAVAILABLE, "the key-value service cannot be reached");
        }
        if (change.limit().isPast(now())) {
            return unknown(change);
        }
        return Single.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS, mControl)
                .flatMap(tick -> attempt(change, true));
    }

    /** Another value is there: ours was there before it if the audit trail has its entry. */
    private Single<Result<KeyValue>> settleConflict(Change change, Optional<KeyValue> current) {
        if (current.filter(kv -> contains(kv, change.changeId())).isPresent()) {
            return stored(current.get());
        }
        return change.archive()
                .entries()
                .map(
                        entries ->
                                entries.stream()
                                        .anyMatch(e -> e.changeId().equals(change.changeId())))
                .flatMap(
                        accepted ->
                                accepted && current.isPresent()
                                        ? stored(current.get())
                                        : lostRace(current))
                .onErrorResumeNext(e -> unknown(change));
    }

    private static Single<Result<KeyValue>> unknown(Change change) {
        return failed(
                ResultCode.CHANGE_UNKNOWN,
                "change " + change.changeId() + " may have been accepted");
    }

    private static Single<Result<KeyValue>> lostRace(Optional<KeyValue> current) {
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

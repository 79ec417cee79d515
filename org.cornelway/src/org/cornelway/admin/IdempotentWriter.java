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
 * Writes a value on condition that its key is unchanged, and determines the outcome if the answer
 * of the key-value service is lost.
 *
 * <p>A write of unknown outcome is repeated under the same condition until the outcome is known or
 * a time limit has passed. It takes effect at most once, because its condition holds at most once.
 * Confined to the control thread.
 */
final class IdempotentWriter {
    /** Maximum size of a value; the caller must check it before a write. */
    static final int MAX_VALUE_BYTES = 1_000_000;

    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long TIME_LIMIT_MILLIS = 4_000;

    private final KeyValueStore mStore;
    private final Scheduler mControl;

    IdempotentWriter(KeyValueStore store, Scheduler control) {
        mStore = store;
        mControl = control;
    }

    /**
     * Writes a value if its key is still at a given revision.
     *
     * @param revision revision that the key must have
     * @param changeId id of the change's audit entry in the value
     * @param archive archive of the audit entries that were removed from the value
     * @return the value of the key, which may include later changes, or a refusal with the code
     *     {@code REVISION_CONFLICT}, {@code STORE_UNAVAILABLE}, or {@code CHANGE_UNKNOWN} if the
     *     outcome is unknown
     */
    Single<Result<KeyValue>> write(
            String key, long revision, byte[] value, String changeId, AuditArchive archive) {
        Deadline timeLimit = Deadline.after(now(), TIME_LIMIT_MILLIS);
        return attempt(new Change(key, revision, value, changeId, archive, timeLimit), false);
    }

    /** A change that is being written. Immutable by convention. */
    private record Change(
            String key,
            long revision,
            byte[] value,
            String changeId,
            AuditArchive archive,
            Deadline timeLimit) {}

    private Single<Result<KeyValue>> attempt(Change change, boolean mayHaveTakenEffect) {
        return mStore.compareAndSwap(
                        change.key(), change.revision(), change.value(), KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .flatMap(result -> onResult(change, result, mayHaveTakenEffect));
    }

    private Single<Result<KeyValue>> onResult(
            Change change, SwapResult result, boolean mayHaveTakenEffect) {
        if (result instanceof SwapResult.Swapped swapped) {
            return stored(new KeyValue(change.key(), change.value(), swapped.revision()));
        }
        if (result instanceof SwapResult.Conflict conflict) {
            return mayHaveTakenEffect
                    ? resolveConflict(change, conflict.current())
                    : revisionConflict(conflict.current());
        }
        if (result instanceof SwapResult.NotApplied && !mayHaveTakenEffect) {
            return failed(ResultCode.STORE_UNAVAILABLE, "the key-value service cannot be reached");
        }
        if (change.timeLimit().isPast(now())) {
            return outcomeUnknown(change);
        }
        return Single.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, mControl)
                .flatMap(tick -> attempt(change, true));
    }

    /**
     * Handles a conflict that follows a write of unknown outcome. That write took effect if the
     * current value or the archive contains the audit entry of the change.
     */
    private Single<Result<KeyValue>> resolveConflict(Change change, Optional<KeyValue> current) {
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
                        found ->
                                found && current.isPresent()
                                        ? stored(current.get())
                                        : revisionConflict(current))
                .onErrorResumeNext(e -> outcomeUnknown(change));
    }

    private static Single<Result<KeyValue>> outcomeUnknown(Change change) {
        return failed(
                ResultCode.CHANGE_UNKNOWN,
                "change " + change.changeId() + " may have been accepted");
    }

    private static Single<Result<KeyValue>> revisionConflict(Optional<KeyValue> current) {
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

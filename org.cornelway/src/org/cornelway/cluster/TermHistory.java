package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;
import org.cornelway.time.Deadline;

/**
 * Keeps the {@link TermRecord} in the key-value service.
 *
 * <p>Invariant: each write replaces the record that this process has read or written last, so no
 * term that was recorded meanwhile is lost. Confined to the control thread.
 */
final class TermHistory {
    /** Time until a failed write that settles the record is repeated. */
    private static final long RETRY_MILLIS = 1_000;

    private final KeyValueStore mStore;
    private final Scheduler mControl;

    /** The newest term as written by this process, until the record is settled. */
    private Optional<TermRecord.Stored> mUnsettled = Optional.empty();

    private Deadline mSettle = new Deadline(0);

    TermHistory(KeyValueStore store, Scheduler control) {
        mStore = store;
        mControl = control;
    }

    /** Reads the record; the result arrives on the control thread. */
    Single<TermRecord.Stored> read() {
        return mStore.get(ClusterKeys.TERMS).map(TermRecord.Stored::of).observeOn(mControl);
    }

    /**
     * Replaces the record at the begin of a term; the result arrives on the control thread.
     *
     * @param before the record that is replaced
     * @param settle when the terms before the new one no longer matter
     */
    Single<SwapResult> write(TermRecord.Stored before, TermRecord terms, Deadline settle) {
        return swap(before.revision(), terms)
                .doOnSuccess(result -> onWritten(result, terms, settle));
    }

    private void onWritten(SwapResult result, TermRecord terms, Deadline settle) {
        if (result instanceof SwapResult.Swapped swapped) {
            mUnsettled = Optional.of(new TermRecord.Stored(terms, swapped.revision()));
            mSettle = settle;
        }
    }

    private Single<SwapResult> swap(long expectedRevision, TermRecord terms) {
        return mStore.compareAndSwap(
                        ClusterKeys.TERMS,
                        expectedRevision,
                        Json.write(terms),
                        KeyValueStore.NO_LEASE)
                .observeOn(mControl);
    }

    /**
     * Removes the earlier terms from the record if they no longer matter, so that a process that is
     * started later need not wait; called during a term.
     */
    void settleIfDue(long nowMillis) {
        if (mUnsettled.isEmpty() || !mSettle.isPast(nowMillis)) {
            return;
        }
        TermRecord.Stored written = mUnsettled.get();
        mSettle = Deadline.after(nowMillis, RETRY_MILLIS);
        swap(written.revision(), written.terms().settled())
                .subscribe(result -> onSettled(written, result));
    }

    private void onSettled(TermRecord.Stored written, SwapResult result) {
        boolean isDone =
                result instanceof SwapResult.Swapped || result instanceof SwapResult.Conflict;
        if (isDone && mUnsettled.equals(Optional.of(written))) {
            mUnsettled = Optional.empty();
        }
    }
}

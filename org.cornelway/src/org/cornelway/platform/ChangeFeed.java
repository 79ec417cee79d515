package org.cornelway.platform;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/**
 * Reads keys of the key-value service, by listings and by long polling for changes.
 *
 * <p>Thread-safe; each call ends within a bounded time.
 */
public interface ChangeFeed {
    /** Lists all keys with a prefix, with their values. */
    Single<ChangePage> listAll(String prefix);

    /**
     * Waits for changes of the keys with a prefix after a revision; returns an empty page if there
     * are none within the time to wait. Fails with {@link HistoryLostException} if the service no
     * longer has all changes after the revision.
     *
     * @param afterRevision revision up to which the changes are already known
     * @param waitMillis longest time to wait for a change
     */
    Single<ChangePage> changes(String prefix, long afterRevision, long waitMillis);

    /**
     * Emits the new era each time an answer shows that the service was restored from a copy, before
     * that answer is emitted; see {@link StoreRevision}.
     */
    default Flowable<Long> restores() {
        return Flowable.never();
    }
}

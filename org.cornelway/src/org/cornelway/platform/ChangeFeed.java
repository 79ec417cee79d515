package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;

/**
 * Reads the key-value service by listings and by long polls for changes.
 *
 * <p>Thread-safe; each call ends within a bounded time.
 */
public interface ChangeFeed {
    /** Lists all keys with a prefix, with their values. */
    Single<ChangePage> listAll(String prefix);

    /**
     * Waits for changes after a revision; returns an empty page if there were none in time. Fails
     * with {@link HistoryLostException} if the service no longer has the history after the
     * revision.
     *
     * @param after revision up to which the changes are already known
     * @param waitMillis longest time to wait
     */
    Single<ChangePage> changes(String prefix, long after, long waitMillis);
}

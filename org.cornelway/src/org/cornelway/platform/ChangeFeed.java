package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;

/**
 * Follows the key-value service by listings and bounded waits for changes.
 *
 * <p>Thread-safe; each call ends within a bounded time.
 */
public interface ChangeFeed {
    /** Lists all keys with a prefix. */
    Single<ChangePage> snapshot(String prefix);

    /**
     * Waits for changes; answers an empty page when there were none in time. Fails with {@link
     * HistoryLostException} when the service no longer knows what came after the revision.
     *
     * @param after revision that is known already
     * @param waitMillis longest wait
     */
    Single<ChangePage> changes(String prefix, long after, long waitMillis);
}

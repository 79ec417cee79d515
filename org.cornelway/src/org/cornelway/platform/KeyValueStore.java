package org.cornelway.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service.
 *
 * <p>Reads are linearizable. Implementations are thread-safe. Every call except a watch completes
 * or fails within a bounded time.
 */
public interface KeyValueStore {
    /** Expected revision of a key that must be absent. */
    long ABSENT = 0;

    /** Lease id of a write that is bound to no lease. */
    long NO_LEASE = 0;

    /** Reads one key; empty if it is absent. */
    Single<Optional<KeyValue>> get(String key);

    /**
     * Reads all keys with a prefix, ordered by key. An implementation that reads in several pages
     * may return values of different revisions of the service.
     */
    Single<List<KeyValue>> list(String prefix);

    /** Reads the revisions of all keys with a prefix, without their values. */
    Single<List<KeyRevision>> revisions(String prefix);

    /**
     * Writes a key if its revision is as expected. Never fails: a failure is returned as a result.
     *
     * @param expectedRevision revision that the key must have, or {@link #ABSENT}
     * @param leaseId lease that the key is bound to, or {@link #NO_LEASE}
     */
    Single<SwapResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId);

    /**
     * Deletes a key if its revision is as expected. Otherwise the key stays, and the call completes
     * without an error.
     */
    Completable delete(String key, long expectedRevision);

    /** Creates a lease that expires unless it is renewed; returns its id. */
    Single<Long> grantLease(long ttlSeconds);

    /** Renews a lease; returns false if it has expired or was revoked. */
    Single<Boolean> keepAlive(long leaseId);

    /** Revokes a lease, which deletes the keys that are bound to it. */
    Completable revokeLease(long leaseId);

    /**
     * Emits the writes under a prefix after a revision, but no deletions. Ends with an error when
     * the watch fails.
     */
    Flowable<KeyValue> watch(String prefix, long afterRevision);
}

package org.cornelway.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.SwapResult;
import org.cornelway.time.Clock;

/**
 * The state of an in-memory key-value service: values, revisions, leases and watchers.
 *
 * <p>Thread-safe. Watchers are called while the lock of the state is held, on the thread that
 * writes or begins the watch.
 */
public final class KeyValueState {
    private final Clock mClock;
    private final TreeMap<String, KeyValue> mValues = new TreeMap<>();
    private final Map<String, Long> mKeyLeases = new HashMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Watcher> mWatchers = new CopyOnWriteArrayList<>();
    private long mRevision;
    private long mNextLeaseId = 1;

    /** A lease with its time to live and its expiry time. */
    private static final class Lease {
        private final long mTtlMillis;
        private long mExpiresMillis;

        Lease(long ttlMillis, long expiresMillis) {
            mTtlMillis = ttlMillis;
            mExpiresMillis = expiresMillis;
        }
    }

    /** A subscription to the writes under a prefix. */
    private record Watcher(String prefix, Consumer<KeyValue> consumer) {}

    /**
     * @param clock used to expire leases
     */
    public KeyValueState(Clock clock) {
        mClock = clock;
    }

    /** Reads a key; empty if it is absent. */
    public synchronized Optional<KeyValue> get(String key) {
        expireLeases();
        return Optional.ofNullable(mValues.get(key));
    }

    /** Reads all keys with a prefix, ordered by key. */
    public synchronized List<KeyValue> list(String prefix) {
        expireLeases();
        return new ArrayList<>(mValues.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    /**
     * Writes a key if it has the expected revision and the lease exists; otherwise returns a
     * conflict.
     *
     * @param expectedRevision revision that the key must have; 0 if it must be absent
     * @param leaseId lease that the key is attached to; 0 for none
     */
    public synchronized SwapResult compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        expireLeases();
        KeyValue current = mValues.get(key);
        long revision = current == null ? 0 : current.revision();
        boolean leaseValid = leaseId == 0 || mLeases.containsKey(leaseId);
        if (revision != expectedRevision || !leaseValid) {
            return new SwapResult.Conflict(Optional.ofNullable(current));
        }
        KeyValue written = new KeyValue(key, value, ++mRevision);
        mValues.put(key, written);
        mKeyLeases.remove(key);
        if (leaseId != 0) {
            mKeyLeases.put(key, leaseId);
        }
        mWatchers.stream()
                .filter(watcher -> key.startsWith(watcher.prefix()))
                .forEach(watcher -> watcher.consumer().accept(written));
        return new SwapResult.Swapped(written.revision());
    }

    /** Deletes a key if it has the expected revision; returns false otherwise. */
    public synchronized boolean delete(String key, long expectedRevision) {
        KeyValue current = mValues.get(key);
        if (current == null || current.revision() != expectedRevision) {
            return false;
        }
        mRevision++;
        mValues.remove(key);
        mKeyLeases.remove(key);
        return true;
    }

    /** Grants a lease; returns its id. */
    public synchronized long grantLease(long ttlSeconds) {
        long id = mNextLeaseId++;
        long ttlMillis = ttlSeconds * 1_000;
        mLeases.put(id, new Lease(ttlMillis, mClock.nowMillis() + ttlMillis));
        return id;
    }

    /** Renews a lease; returns false if it has expired or was revoked. */
    public synchronized boolean keepAlive(long id) {
        expireLeases();
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        lease.mExpiresMillis = mClock.nowMillis() + lease.mTtlMillis;
        return true;
    }

    /** Revokes a lease and deletes the keys attached to it. */
    public synchronized void revokeLease(long id) {
        mLeases.remove(id);
        removeKeysOfEndedLeases();
    }

    private void expireLeases() {
        long now = mClock.nowMillis();
        if (mLeases.values().removeIf(lease -> lease.mExpiresMillis <= now)) {
            removeKeysOfEndedLeases();
        }
    }

    private void removeKeysOfEndedLeases() {
        List<String> keys = new ArrayList<>();
        mKeyLeases.forEach(
                (key, lease) -> {
                    if (!mLeases.containsKey(lease)) {
                        keys.add(key);
                    }
                });
        for (String key : keys) {
            mRevision++;
            mKeyLeases.remove(key);
            mValues.remove(key);
        }
    }

    /** The revision of the last change. */
    public synchronized long revision() {
        return mRevision;
    }

    /**
     * Calls a consumer for each write under a prefix, starting with the current values that were
     * written after a revision. Deletions are not reported.
     *
     * @return an action that cancels the watch
     */
    public synchronized Runnable watch(
            String prefix, long afterRevision, Consumer<KeyValue> consumer) {
        list(prefix).stream().filter(kv -> kv.revision() > afterRevision).forEach(consumer);
        Watcher watcher = new Watcher(prefix, consumer);
        mWatchers.add(watcher);
        return () -> mWatchers.remove(watcher);
    }
}

package org.cornelway.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelway.time.Clock;

/**
 * The state that a stand-in for the platform's key-value service keeps in memory: items, their
 * change history, and leases.
 *
 * <p>Not thread-safe: confined to the event loop of the stand-in, or to the thread of a test.
 */
public final class StoreState {
    private final Clock mClock;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision;
    private long mCompactedRevision;
    private long mNextLeaseId = 100;

    /**
     * A stored item. Immutable by convention.
     *
     * @param key the key
     * @param value the value
     * @param revision store revision of the last write
     * @param createRevision store revision at which the key was created
     * @param leaseId the lease that the item is attached to, or 0
     */
    public record Item(
            String key, byte[] value, long revision, long createRevision, long leaseId) {}

    /** A change of a key: a write, or a deletion if there is no item. */
    public record Event(String key, long revision, Optional<Item> item) {}

    /** A lease with its time to live and its expiry time. */
    private record Lease(long ttlMillis, long expiresMillis) {}

    /**
     * @param clock clock by which leases expire
     */
    public StoreState(Clock clock) {
        mClock = clock;
    }

    /** Returns a copy of the whole state, which later changes of either do not affect. */
    public StoreState copy() {
        StoreState copy = new StoreState(mClock);
        copy.mItems.putAll(mItems);
        copy.mHistory.addAll(mHistory);
        copy.mLeases.putAll(mLeases);
        copy.mRevision = mRevision;
        copy.mCompactedRevision = mCompactedRevision;
        copy.mNextLeaseId = mNextLeaseId;
        return copy;
    }

    /** The revision of the last change. */
    public long revision() {
        return mRevision;
    }

    /** Returns the item of a key; empty if the key is absent. */
    public Optional<Item> get(String key) {
        expireLeases();
        return Optional.ofNullable(mItems.get(key));
    }

    /** Returns the items under a prefix whose keys sort after a given key, ordered by key. */
    public List<Item> list(String prefix, String afterKey) {
        expireLeases();
        return mItems.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .filter(item -> item.key().compareTo(afterKey) > 0)
                .toList();
    }

    /**
     * Returns the events under a prefix after a revision, oldest first; empty if part of that
     * history has been discarded by {@link #compact}, or if there is no such revision yet.
     */
    public Optional<List<Event>> events(String prefix, long afterRevision) {
        expireLeases();
        if (afterRevision < mCompactedRevision || afterRevision > mRevision) {
            return Optional.empty();
        }
        return Optional.of(
                mHistory.stream()
                        .filter(event -> event.revision() > afterRevision)
                        .filter(event -> event.key().startsWith(prefix))
                        .toList());
    }

    /** Discards the change history up to the current revision. */
    public void compact() {
        mHistory.clear();
        mCompactedRevision = mRevision;
    }

    /**
     * Writes an item and returns its new revision. The item is attached to a lease unless the lease
     * id is 0.
     */
    public long put(String key, byte[] value, long leaseId) {
        mRevision++;
        long created = get(key).map(Item::createRevision).orElse(mRevision);
        Item item = new Item(key, value, mRevision, created, leaseId);
        mItems.put(key, item);
        mHistory.add(new Event(key, mRevision, Optional.of(item)));
        return mRevision;
    }

    /** Removes the item of a key, if there is one. */
    public void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mHistory.add(new Event(key, mRevision, Optional.empty()));
        }
    }

    /** Grants a lease; returns its id. */
    public long grantLease(long ttlMillis) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMillis, mClock.nowMillis() + ttlMillis));
        return id;
    }

    /** Renews a lease; returns false if it has expired or was revoked. */
    public boolean keepAlive(long id) {
        expireLeases();
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        mLeases.put(id, new Lease(lease.ttlMillis(), mClock.nowMillis() + lease.ttlMillis()));
        return true;
    }

    /** Whether a lease is active. */
    public boolean hasLease(long id) {
        expireLeases();
        return mLeases.containsKey(id);
    }

    /** Revokes a lease and deletes the items attached to it. */
    public void revokeLease(long id) {
        mLeases.remove(id);
        removeItemsOfEndedLeases();
    }

    private void expireLeases() {
        long now = mClock.nowMillis();
        if (mLeases.values().removeIf(lease -> lease.expiresMillis() <= now)) {
            removeItemsOfEndedLeases();
        }
    }

    private void removeItemsOfEndedLeases() {
        mItems.values().stream()
                .filter(item -> item.leaseId() != 0 && !mLeases.containsKey(item.leaseId()))
                .map(Item::key)
                .toList()
                .forEach(this::remove);
    }
}

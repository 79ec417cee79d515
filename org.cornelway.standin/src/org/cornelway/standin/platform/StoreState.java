package org.cornelway.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelway.time.Clock;

/**
 * What the platform's store holds: items, their history and leases.
 *
 * <p>Confined to the event loop of its stand-in, or to a test's thread.
 */
public final class StoreState {
    private final Clock mClock;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision;
    private long mForgottenUpTo;
    private long mNextLease = 100;

    /** A stored item. */
    public record Item(
            String key, byte[] value, long revision, long createRevision, long leaseId) {}

    /** A write, or an end where there is no item. */
    public record Event(String key, long revision, Optional<Item> item) {}

    /** A lease with its end. */
    private record Lease(long ttlMillis, long endsMillis) {}

    /**
     * @param clock tells when leases end
     */
    public StoreState(Clock clock) {
        mClock = clock;
    }

    /** Revision of the last change. */
    public long revision() {
        return mRevision;
    }

    /** An item. */
    public Optional<Item> get(String key) {
        expire();
        return Optional.ofNullable(mItems.get(key));
    }

    /** Items with a prefix that come after a key. */
    public List<Item> list(String prefix, String after) {
        expire();
        return mItems.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .filter(item -> item.key().compareTo(after) > 0)
                .toList();
    }

    /** Events under a prefix after a revision; empty if that history is forgotten. */
    public Optional<List<Event>> events(String prefix, long after) {
        expire();
        if (after < mForgottenUpTo) {
            return Optional.empty();
        }
        return Optional.of(
                mHistory.stream()
                        .filter(event -> event.revision() > after)
                        .filter(event -> event.key().startsWith(prefix))
                        .toList());
    }

    /** Forgets the history. */
    public void compact() {
        mHistory.clear();
        mForgottenUpTo = mRevision;
    }

    /** Writes an item; returns its revision. */
    public long put(String key, byte[] value, long lease) {
        mRevision++;
        long created = get(key).map(Item::createRevision).orElse(mRevision);
        Item item = new Item(key, value, mRevision, created, lease);
        mItems.put(key, item);
        mHistory.add(new Event(key, mRevision, Optional.of(item)));
        return mRevision;
    }

    /** Removes an item. */
    public void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mHistory.add(new Event(key, mRevision, Optional.empty()));
        }
    }

    /** Grants a lease. */
    public long grant(long ttlMillis) {
        long id = mNextLease++;
        mLeases.put(id, new Lease(ttlMillis, mClock.nowMillis() + ttlMillis));
        return id;
    }

    /** Renews a lease; false if it has ended. */
    public boolean keepAlive(long id) {
        expire();
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        mLeases.put(id, new Lease(lease.ttlMillis(), mClock.nowMillis() + lease.ttlMillis()));
        return true;
    }

    /** Whether a lease runs. */
    public boolean hasLease(long id) {
        expire();
        return mLeases.containsKey(id);
    }

    /** Ends a lease and its items. */
    public void revoke(long id) {
        mLeases.remove(id);
        dropOrphans();
    }

    private void expire() {
        long now = mClock.nowMillis();
        if (mLeases.values().removeIf(lease -> lease.endsMillis() <= now)) {
            dropOrphans();
        }
    }

    private void dropOrphans() {
        mItems.values().stream()
                .filter(item -> item.leaseId() != 0 && !mLeases.containsKey(item.leaseId()))
                .map(Item::key)
                .toList()
                .forEach(this::remove);
    }
}

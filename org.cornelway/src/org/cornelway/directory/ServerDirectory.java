package org.cornelway.directory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cornelway.platform.StoreRevision;
import org.cornelway.time.Deadline;

/**
 * Maintains the set of backend servers from their announcements in the key-value service.
 *
 * <p>Invariants: the revision of a server's announcement only increases; an announcement never
 * replaces one of a later incarnation, or one of the same incarnation with a higher heartbeat
 * sequence; within one incarnation, a server that has started to drain stays draining.
 *
 * <p>After a restore of the key-value service, the announcement of a server that has left may be
 * there again. It is ignored unless it is newer than the last one before.
 *
 * <p>If an announcement is deleted during an outage of the key-value service or within {@link
 * #REREGISTRATION_GRACE_MILLIS} after its end, the server is kept until that period is over,
 * because a live server has registered again by then. If an announcement is deleted at any other
 * time, the server is removed immediately.
 *
 * <p>Confined to the control thread.
 */
public final class ServerDirectory {
    /**
     * Live servers register again about two seconds after the key-value service is available; the
     * rest is a margin.
     */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_300;

    /** Limit on the number of removed servers that are remembered; the oldest go first. */
    private static final int MAX_REMOVED = 4_096;

    private final Map<String, Entry> mEntries = new HashMap<>();

    /** The last announcement of each server that was removed. */
    private final Map<String, Entry> mRemoved =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                    return size() > MAX_REMOVED;
                }
            };

    private boolean mStoreUnavailable;
    private Deadline mGraceUntil = new Deadline(0);

    /**
     * The last announcement of a server, with the revision of the last change and whether that
     * change was its deletion.
     */
    private record Entry(ServerRecord record, long revision, boolean deleted) {}

    /** Called when the key-value service is unavailable. */
    public void onStoreUnavailable() {
        mStoreUnavailable = true;
    }

    /** Called when the key-value service is available again. */
    public void onStoreAvailable(long nowMillis) {
        if (mStoreUnavailable) {
            mStoreUnavailable = false;
            mGraceUntil = Deadline.after(nowMillis, REREGISTRATION_GRACE_MILLIS);
        }
    }

    /**
     * Applies an announcement, unless a newer one of the same server was applied before.
     *
     * @return whether anything changed
     */
    public boolean put(ServerRecord record, long revision) {
        Entry current = mEntries.get(record.id());
        if (current == null) {
            if (wasRemovedBeforeRestore(record, revision)) {
                return false;
            }
            mRemoved.remove(record.id());
            mEntries.put(record.id(), new Entry(record, revision, false));
            return true;
        }
        if (revision <= current.revision() || isOlder(record, current.record())) {
            return false;
        }
        mEntries.put(record.id(), new Entry(record, revision, false));
        return !record.equals(current.record()) || current.deleted();
    }

    /** Whether a restored service lists an announcement again that was deleted before. */
    private boolean wasRemovedBeforeRestore(ServerRecord record, long revision) {
        Entry removed = mRemoved.get(record.id());
        return removed != null
                && StoreRevision.era(revision) > StoreRevision.era(removed.revision())
                && (isOlder(record, removed.record())
                        || record.incarnation().equals(removed.record().incarnation())
                                && record.heartbeatSequence()
                                        == removed.record().heartbeatSequence());
    }

    private static boolean isOlder(ServerRecord record, ServerRecord current) {
        if (record.incarnation().startedMillis() != current.incarnation().startedMillis()) {
            return record.incarnation().startedMillis() < current.incarnation().startedMillis();
        }
        return record.heartbeatSequence() < current.heartbeatSequence()
                || current.draining() && !record.draining();
    }

    /**
     * Applies the deletion of a server's announcement in the key-value service.
     *
     * @return whether the server was removed; false if it is kept for the grace period, is unknown
     *     or has a newer announcement
     */
    public boolean remove(String id, long revision, long nowMillis) {
        Entry current = mEntries.get(id);
        if (current == null || revision <= current.revision()) {
            return false;
        }
        if (mStoreUnavailable || !mGraceUntil.isPast(nowMillis)) {
            mEntries.put(id, new Entry(current.record(), revision, true));
            return false;
        }
        mEntries.remove(id);
        mRemoved.put(id, new Entry(current.record(), revision, true));
        return true;
    }

    /**
     * Applies a full listing of the announcements: those that it does not contain were deleted.
     *
     * @param present ids of the servers in the listing
     * @param revision revision up to which the listing is complete
     * @return whether any servers were removed
     */
    public boolean retain(Set<String> present, long revision, long nowMillis) {
        boolean changed = false;
        for (String id : new HashSet<>(mEntries.keySet())) {
            if (!present.contains(id)) {
                changed |= remove(id, revision, nowMillis);
            }
        }
        return changed;
    }

    /**
     * Removes the servers that were kept although their announcements were deleted, and that have
     * not registered again, once the grace period is over.
     *
     * @return whether any were removed
     */
    public boolean expire(long nowMillis) {
        if (mStoreUnavailable || !mGraceUntil.isPast(nowMillis)) {
            return false;
        }
        mEntries.forEach(
                (id, entry) -> {
                    if (entry.deleted()) {
                        mRemoved.put(id, entry);
                    }
                });
        return mEntries.values().removeIf(Entry::deleted);
    }

    /** Returns the servers known now. */
    public DirectorySnapshot snapshot() {
        Map<String, ServerRecord> records = new HashMap<>();
        mEntries.forEach((id, entry) -> records.put(id, entry.record()));
        return new DirectorySnapshot(records);
    }
}

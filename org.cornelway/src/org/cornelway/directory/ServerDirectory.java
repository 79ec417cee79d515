package org.cornelway.directory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelway.time.Deadline;

/**
 * Decides which backend servers there are from what the platform's store tells.
 *
 * <p>Invariants: the revision of an entry only rises; within a life, an older announcement never
 * replaces a newer one, and a server that once drained stays so. An entry that ends while the store
 * is away, or just after, is kept until {@link #RETURN_GRACE_MILLIS} past the store's return,
 * because a live server is back by then. An entry that ends at any other time is gone at once.
 *
 * <p>Confined to the control thread.
 */
public final class ServerDirectory {
    /** Entries of live servers are back about two seconds after the store; some slack on top. */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_300;

    private final Map<String, Entry> mEntries = new HashMap<>();
    private boolean mAway;
    private Deadline mGraceUntil = new Deadline(0);

    /** A record with the revision that it was read at. */
    private record Entry(ServerRecord record, long revision, boolean ended) {}

    /** Notes that the store does not answer. */
    public void storeUnavailable() {
        mAway = true;
    }

    /** Notes that the store answers again. */
    public void storeAvailable(long nowMillis) {
        if (mAway) {
            mAway = false;
            mGraceUntil = Deadline.after(nowMillis, REREGISTRATION_GRACE_MILLIS);
        }
    }

    /** Takes over an announcement; true if anything changed. */
    public boolean put(ServerRecord record, long revision) {
        Entry held = mEntries.get(record.id());
        if (held == null) {
            mEntries.put(record.id(), new Entry(record, revision, false));
            return true;
        }
        if (revision <= held.revision() || isOlder(record, held.record())) {
            return false;
        }
        mEntries.put(record.id(), new Entry(record, revision, false));
        return !record.equals(held.record()) || held.ended();
    }

    private static boolean isOlder(ServerRecord record, ServerRecord held) {
        if (record.incarnation().startedMillis() != held.incarnation().startedMillis()) {
            return record.incarnation().startedMillis() < held.incarnation().startedMillis();
        }
        return record.heartbeatSequence() < held.heartbeatSequence()
                || held.draining() && !record.draining();
    }

    /** Notes that an entry ended; true if the servers changed. */
    public boolean remove(String id, long revision, long nowMillis) {
        Entry held = mEntries.get(id);
        if (held == null || revision <= held.revision()) {
            return false;
        }
        if (mAway || !mGraceUntil.isPast(nowMillis)) {
            mEntries.put(id, new Entry(held.record(), revision, true));
            return false;
        }
        mEntries.remove(id);
        return true;
    }

    /**
     * Takes over a full listing: what it lacks has ended.
     *
     * @param present ids in the listing
     * @param revision revision that the listing is complete up to
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

    /** Drops the entries whose grace has ended; true if there were any. */
    public boolean expire(long nowMillis) {
        if (mAway || !mGraceUntil.isPast(nowMillis)) {
            return false;
        }
        return mEntries.values().removeIf(Entry::ended);
    }

    /** The servers known now. */
    public DirectorySnapshot snapshot() {
        Map<String, ServerRecord> records = new HashMap<>();
        mEntries.forEach((id, entry) -> records.put(id, entry.record()));
        return new DirectorySnapshot(records);
    }
}

package org.cornelway.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;

/**
 * What backend servers have said about themselves in their answers to this process: that they are
 * leaving, or that they want no call for a while.
 *
 * <p>State is kept by incarnation, so a restarted server starts anew. A server that is leaving
 * never comes back in the same incarnation. Confined to the traffic thread.
 */
public final class ServerNotices {
    private final Set<ServerIncarnation> mLeaving = new HashSet<>();
    private final Map<ServerIncarnation, Deadline> mPausedUntil = new HashMap<>();

    /**
     * Records that a server is leaving.
     *
     * @return false if that was known
     */
    public boolean recordLeaving(ServerIncarnation incarnation) {
        return mLeaving.add(incarnation);
    }

    /** Records until when a server wants no call; a later answer replaces an earlier one. */
    public void recordPause(ServerIncarnation incarnation, Deadline until) {
        mPausedUntil.put(incarnation, until);
    }

    /** Whether a server is leaving. */
    public boolean isLeaving(ServerIncarnation incarnation) {
        return mLeaving.contains(incarnation);
    }

    /** Returns until when a server wants no call; empty if it takes calls now. */
    public Optional<Deadline> pausedUntil(ServerIncarnation incarnation, long nowMillis) {
        return Optional.ofNullable(mPausedUntil.get(incarnation))
                .filter(until -> !until.isPast(nowMillis));
    }

    /** Whether a server takes calls now, as far as it has said. */
    public boolean acceptsCalls(ServerIncarnation incarnation, long nowMillis) {
        return !isLeaving(incarnation) && pausedUntil(incarnation, nowMillis).isEmpty();
    }

    /** Discards what servers have said that are not in the collection. */
    public void retain(Collection<ServerIncarnation> incarnations) {
        mLeaving.retainAll(incarnations);
        mPausedUntil.keySet().retainAll(incarnations);
    }
}

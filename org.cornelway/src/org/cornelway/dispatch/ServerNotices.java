package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
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
 * never comes back in the same incarnation, also not if its announcement lapses and returns. Not
 * thread-safe.
 */
public final class ServerNotices {
    /** Number of leaving incarnations that are remembered; the oldest are forgotten first. */
    private static final int MAX_LEAVING = 4_096;

    private final Set<ServerIncarnation> mLeaving = new LinkedHashSet<>();
    private final Map<ServerIncarnation, Deadline> mPausedUntil = new HashMap<>();

    /**
     * Records that a server is leaving.
     *
     * @return false if that was known
     */
    public boolean recordLeaving(ServerIncarnation incarnation) {
        boolean isNew = mLeaving.add(incarnation);
        if (mLeaving.size() > MAX_LEAVING) {
            mLeaving.remove(mLeaving.iterator().next());
        }
        return isNew;
    }

    /** Records until when a server wants no call; the latest time that it has named applies. */
    public void recordPause(ServerIncarnation incarnation, Deadline until) {
        mPausedUntil.merge(incarnation, until, ServerNotices::later);
    }

    private static Deadline later(Deadline first, Deadline second) {
        return first.compareTo(second) > 0 ? first : second;
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

    /** Discards the times that have passed. */
    public void expire(long nowMillis) {
        mPausedUntil.values().removeIf(until -> until.isPast(nowMillis));
    }
}

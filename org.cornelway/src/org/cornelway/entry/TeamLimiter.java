package org.cornelway.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.config.TeamRule;

/** Limits the number of open requests of each team at this entry. Thread-safe. */
public final class TeamLimiter {
    private final Map<String, AtomicInteger> mOpenByTeam = new ConcurrentHashMap<>();

    /**
     * Counts a new open request of a team. Returns false, without counting it, if the team is at
     * its limit.
     */
    public boolean tryAcquire(TeamRule team) {
        AtomicInteger open = mOpenByTeam.computeIfAbsent(team.name(), name -> new AtomicInteger());
        if (open.incrementAndGet() > team.maxWaiting()) {
            open.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Counts one open request fewer, after a successful {@link #tryAcquire}. */
    public void release(TeamRule team) {
        mOpenByTeam.get(team.name()).decrementAndGet();
    }
}

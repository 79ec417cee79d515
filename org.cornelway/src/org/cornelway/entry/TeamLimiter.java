package org.cornelway.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.config.TeamRule;

/** Bounds the requests that each team has open. Thread-safe. */
public final class TeamLimiter {
    private final Map<String, AtomicInteger> mOpen = new ConcurrentHashMap<>();

    /** Takes a place; false if the team has none left. */
    public boolean tryAcquire(TeamRule team) {
        AtomicInteger open = mOpen.computeIfAbsent(team.name(), name -> new AtomicInteger());
        if (open.incrementAndGet() > team.maxWaiting()) {
            open.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Gives a place back. */
    public void release(TeamRule team) {
        mOpen.get(team.name()).decrementAndGet();
    }
}

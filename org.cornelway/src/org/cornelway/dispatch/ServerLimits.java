package org.cornelway.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;

/**
 * The limits of backend servers as one entry knows them, and its permits for calls to them.
 *
 * <p>Invariant: a call to a limited server is sent only with a permit, and each permit is for one
 * call. Confined to the traffic thread.
 */
public final class ServerLimits {
    /**
     * Time without an answer after which a limited server is asked again whether it has a limit.
     */
    private static final long MAX_AGE_MILLIS = 2_000;

    /** Limit on the number of permits for one server. */
    private static final int MAX_PERMITS = 1_000;

    private final LimitTable mTable = new LimitTable();
    private final Map<ServerIncarnation, Deque<Deadline>> mPermits = new HashMap<>();
    private final Map<ServerIncarnation, Integer> mWanted = new HashMap<>();

    /** Servers that have named a limit in a reply to a report or an order. */
    private final Set<ServerIncarnation> mNamedInReplies = new HashSet<>();

    /**
     * What an entry tells the controller. Immutable.
     *
     * @param limits limits that it knows, and those that have ended
     * @param wanted number of calls that wanted each limited server since the last report
     * @param takenMillis when the report was taken, in milliseconds since the epoch
     */
    public record Report(
            List<LimitObservation> limits,
            Map<ServerIncarnation, Integer> wanted,
            long takenMillis) {}

    /** Records what an answer said; returns whether the limit in force has changed. */
    public boolean record(LimitObservation observation) {
        boolean changed = mTable.record(observation);
        if (mTable.callsPerSecond(observation.server()).isEmpty()) {
            mPermits.remove(observation.server());
        }
        return changed;
    }

    /**
     * Records what a reply to a report or an order said; returns whether the limit in force has
     * changed. A reply without a limit ends one only if an earlier reply of that server has named
     * one, since a server might name its limit in answers to calls only.
     */
    public boolean recordReply(LimitObservation observation) {
        if (observation.callsPerSecond().isPresent()) {
            mNamedInReplies.add(observation.server());
        }
        return mNamedInReplies.contains(observation.server()) && record(observation);
    }

    /** Returns the limit of a server, in calls per second; empty if it has none. */
    public OptionalDouble callsPerSecond(ServerIncarnation server) {
        return mTable.callsPerSecond(server);
    }

    /** Whether no server has or had a limit. */
    public boolean isEmpty() {
        return mTable.isEmpty();
    }

    /** Whether a server has a limit. */
    public boolean isLimited(ServerIncarnation server) {
        return mTable.callsPerSecond(server).isPresent();
    }

    /** Returns the time since the answer that named the limit of a server. */
    public long ageMillis(ServerIncarnation server, long nowMillis) {
        return mTable.ageMillis(server, nowMillis);
    }

    /** Whether no answer has told for a while whether a server still has its limit. */
    public boolean isOutdated(ServerIncarnation server, long nowMillis) {
        return mTable.ageMillis(server, nowMillis) > MAX_AGE_MILLIS;
    }

    /** Adds permits for calls to a server; they lapse at the deadline. */
    public void addPermits(ServerIncarnation server, int count, Deadline until) {
        Deque<Deadline> permits = mPermits.computeIfAbsent(server, key -> new ArrayDeque<>());
        for (int i = 0; i < count && permits.size() < MAX_PERMITS; i++) {
            permits.addLast(until);
        }
    }

    /** Whether a call may be sent to a server now: it has no limit, or there is a permit. */
    public boolean allows(ServerIncarnation server, long nowMillis) {
        return !isLimited(server) || !validPermits(server, nowMillis).isEmpty();
    }

    /** Records that a call wants a limited server, so that the next report asks for a permit. */
    public void recordWanted(ServerIncarnation server) {
        mWanted.merge(server, 1, Integer::sum);
    }

    /** Takes a permit for a call that wants a limited server; empty if there is none. */
    public Optional<Deadline> takePermit(ServerIncarnation server, long nowMillis) {
        if (!isLimited(server)) {
            return Optional.empty();
        }
        recordWanted(server);
        return Optional.ofNullable(validPermits(server, nowMillis).pollFirst());
    }

    /** Returns a permit whose call was not sent. */
    public void returnPermit(ServerIncarnation server, Deadline permit) {
        mPermits.computeIfAbsent(server, key -> new ArrayDeque<>()).addFirst(permit);
    }

    private Deque<Deadline> validPermits(ServerIncarnation server, long nowMillis) {
        Deque<Deadline> permits = mPermits.getOrDefault(server, new ArrayDeque<>());
        permits.removeIf(until -> until.isPast(nowMillis));
        return permits;
    }

    /** Returns the sum of the limits of servers, in calls per second. */
    public double totalCallsPerSecond(Collection<ServerIncarnation> servers) {
        return servers.stream().mapToDouble(each -> callsPerSecond(each).orElse(0)).sum();
    }

    /** Returns the report to the controller, and begins to count the wanted calls anew. */
    public Report takeReport(long nowMillis) {
        Report report = new Report(mTable.all(), Map.copyOf(mWanted), nowMillis);
        mWanted.clear();
        return report;
    }

    /** Discards what is known of servers that are not in the set, and what has lapsed. */
    public void retain(Set<ServerIncarnation> servers, long nowMillis) {
        mTable.retain(servers, nowMillis);
        mPermits.keySet().retainAll(servers);
        mWanted.keySet().retainAll(servers);
        mNamedInReplies.retainAll(servers);
    }
}

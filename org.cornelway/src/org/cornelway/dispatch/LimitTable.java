package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/**
 * The limits that backend servers have named, from the answers to this process and from those that
 * other processes tell of.
 *
 * <p>Answers overtake each other. An observation replaces an earlier one only if its call was sent
 * after the earlier answer was received; if the two overlap, the lower limit holds until the answer
 * to a later call. State is kept by incarnation, so that a restarted server starts anew.
 *
 * <p>Invariant: a limit ends only by an answer without one, or with its incarnation. Not
 * thread-safe.
 */
public final class LimitTable {
    /**
     * Time for which an ended limit is remembered, against late answers that still name it, and the
     * limit of a server that is not listed, which may be listed again.
     */
    private static final long MEMORY_MILLIS = 30_000;

    private final Map<ServerIncarnation, LimitObservation> mObservations = new HashMap<>();

    /**
     * Records an observation.
     *
     * @return whether the limit in force has changed
     */
    public boolean record(LimitObservation observation) {
        LimitObservation known = mObservations.get(observation.server());
        if (known == null) {
            if (observation.callsPerSecond().isPresent()) {
                mObservations.put(observation.server(), observation);
                return true;
            }
            return false;
        }
        boolean replaces =
                observation.isAfter(known)
                        || !known.isAfter(observation) && observation.isLowerThan(known);
        if (replaces) {
            mObservations.put(observation.server(), observation);
        }
        return replaces && !observation.callsPerSecond().equals(known.callsPerSecond());
    }

    /** Returns the limit in force, in calls per second; empty if the server has none. */
    public OptionalDouble callsPerSecond(ServerIncarnation server) {
        LimitObservation known = mObservations.get(server);
        return known == null ? OptionalDouble.empty() : known.callsPerSecond();
    }

    /** Returns the time since the answer that named the limit in force; 0 if there is none. */
    public long ageMillis(ServerIncarnation server, long nowMillis) {
        LimitObservation known = mObservations.get(server);
        return known == null ? 0 : nowMillis - known.receivedMillis();
    }

    /** Whether neither a limit nor the end of one is known. */
    public boolean isEmpty() {
        return mObservations.isEmpty();
    }

    /** Returns all observations in force, also those that have ended a limit. */
    public List<LimitObservation> all() {
        return new ArrayList<>(mObservations.values());
    }

    /** Discards limits that have ended or whose servers are not in the set, after some time. */
    public void retain(Set<ServerIncarnation> servers, long nowMillis) {
        mObservations
                .values()
                .removeIf(
                        each ->
                                nowMillis - each.receivedMillis() > MEMORY_MILLIS
                                        && (each.callsPerSecond().isEmpty()
                                                || !servers.contains(each.server())));
    }
}

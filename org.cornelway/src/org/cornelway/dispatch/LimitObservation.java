package org.cornelway.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import org.cornelway.directory.ServerIncarnation;

/**
 * The limit that one answer of a backend server named. What the server said was true at some time
 * between the sending of the call and the receipt of the answer. Immutable.
 *
 * @param callsPerSecond calls per second from all entries together; empty if the answer named no
 *     limit
 * @param sentMillis when the call was sent, in milliseconds since the epoch
 * @param receivedMillis when the answer was received, in milliseconds since the epoch
 */
public record LimitObservation(
        ServerIncarnation server,
        OptionalDouble callsPerSecond,
        long sentMillis,
        long receivedMillis) {
    /** Returns what an answer said; empty if its limit is malformed. */
    public static Optional<LimitObservation> of(
            ServerIncarnation server, LimitNotice notice, long sentMillis, long receivedMillis) {
        if (notice instanceof LimitNotice.Malformed) {
            return Optional.empty();
        }
        OptionalDouble callsPerSecond =
                notice instanceof LimitNotice.Rate rate
                        ? OptionalDouble.of(rate.callsPerSecond())
                        : OptionalDouble.empty();
        return Optional.of(
                new LimitObservation(server, callsPerSecond, sentMillis, receivedMillis));
    }

    /** Whether this is certainly what the server said after the other observation. */
    boolean isAfter(LimitObservation other) {
        return sentMillis >= other.receivedMillis;
    }

    /** Whether this names a limit, and a lower one than the other observation, if that does. */
    boolean isLowerThan(LimitObservation other) {
        return callsPerSecond.isPresent()
                && callsPerSecond.getAsDouble()
                        < other.callsPerSecond.orElse(Double.POSITIVE_INFINITY);
    }
}

package org.cornelway.dispatch;

/**
 * What one response of a backend server says about the rate of calls that the server takes from all
 * entries together. Implementations are immutable.
 */
public sealed interface LimitNotice {
    /** The response names no limit; a limit that was named before has ended. */
    record None() implements LimitNotice {}

    /**
     * The response names a limit.
     *
     * @param callsPerSecond calls per second from all entries together; finite, 0 or more
     */
    record Rate(double callsPerSecond) implements LimitNotice {}

    /** The limit in the response is malformed, so that what was known before still holds. */
    record Malformed() implements LimitNotice {}
}

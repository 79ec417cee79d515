package org.cornelway.route;

/**
 * Bounds on what a caller may send. Immutable.
 *
 * @param maxHeaderBytes longest request head
 * @param maxBodyBytes longest request body
 * @param headerTimeoutMillis time within which a request's head must be complete
 * @param idleTimeoutMillis time that a connection may be idle between requests
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    private static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);

    /** Limits that hold until a configuration is known. */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }
}

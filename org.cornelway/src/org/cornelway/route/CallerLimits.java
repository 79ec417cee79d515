package org.cornelway.route;

/**
 * Limits on what a caller may send. Immutable.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis time within which the head of a request must be complete
 * @param idleTimeoutMillis time for which a connection may be idle, between requests or within the
 *     body of one
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    private static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);

    /** Returns the limits that apply until a configuration is known. */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }
}

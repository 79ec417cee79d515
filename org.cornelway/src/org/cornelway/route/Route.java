package org.cornelway.route;

import java.util.List;

/**
 * A routing rule: the services and limits of the calls to a host below a path prefix. Immutable.
 *
 * @param name name of the route
 * @param host host of the calls, in lower case and without a port
 * @param prefix path prefix that begins and ends with a slash
 * @param kind kind of the calls; determines, together with {@code resumable}, whether a call may
 *     run more than once
 * @param timeoutMillis time from the arrival of a call until its response must be complete
 * @param targetLatencyMillis latency objective; for a stream, that of its first event
 * @param priority priority among the routes, 0 is the most urgent
 * @param services services that the calls are split over; not empty
 * @param maxAttempts maximum number of times that a call is sent; sends after which the call is
 *     known not to have run do not count
 * @param sticky whether calls share prompt parts that backend servers cache; not used for routing
 * @param resumable whether a stream may be resumed at another backend server
 * @param targetGapMillis objective for the longest pause between two events; 0 if there is none
 * @param isPublic whether calls need no customer's key
 */
public record Route(
        String name,
        String host,
        String prefix,
        CallKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean sticky,
        boolean resumable,
        long targetGapMillis,
        boolean isPublic) {
    private static final long MIN_SILENCE_TIMEOUT_MILLIS = 2_000;
    private static final long SILENCE_LATENCY_MULTIPLE = 4;
    private static final long SILENCE_GAP_MULTIPLE = 8;

    /** Whether a call may run more than once. */
    public boolean isIdempotent() {
        return kind == CallKind.SAFE || kind == CallKind.STREAM && resumable;
    }

    /**
     * Returns the time without an event after which callers abandon a stream, also before the first
     * event.
     *
     * <p>The platform's documentation of callers defines this formula.
     */
    public long streamSilenceTimeoutMillis() {
        return Math.max(
                MIN_SILENCE_TIMEOUT_MILLIS,
                Math.max(
                        SILENCE_LATENCY_MULTIPLE * targetLatencyMillis,
                        SILENCE_GAP_MULTIPLE * targetGapMillis));
    }

    /**
     * Selects the service of one call.
     *
     * @param callHash a hash that is evenly distributed over calls, and the same for all attempts
     *     of a call
     * @return name of the service; that of the first one if all weights are 0
     */
    public String selectService(int callHash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        int remainder = Math.floorMod(callHash, total);
        for (WeightedService each : services) {
            remainder -= each.weight();
            if (remainder < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}

package org.cornelway.route;

import java.util.List;

/**
 * Where the calls below a path go, and within which bounds. Immutable.
 *
 * @param name name of the route
 * @param host host of the calls, lower case, without a port
 * @param prefix path prefix that begins and ends with a slash
 * @param kind how often a call may run
 * @param timeoutMillis longest time until the answer, in milliseconds
 * @param targetLatencyMillis latency objective; for streams up to the first event
 * @param priority rank among the routes, 0 is the most urgent
 * @param services services that the calls are split over; not empty
 * @param maxAttempts backend servers that one call may be sent to
 * @param sticky whether calls share parts of prompts that backend servers keep
 * @param resumable whether a stream may go on at another backend server
 * @param targetGapMillis longest pause between two events; 0 where there is none
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
        long targetGapMillis) {
    private static final long LEAST_SILENCE_MILLIS = 2_000;
    private static final long SILENCE_TARGETS = 4;
    private static final long SILENCE_GAPS = 8;

    /** Whether a call may run more than once. */
    public boolean isIdempotent() {
        return kind == CallKind.SAFE || kind == CallKind.STREAM && resumable;
    }

    /**
     * Time without an event after which callers leave a stream, also before the first event.
     *
     * <p>Source: the platform's page on callers.
     */
    public long streamSilenceTimeoutMillis() {
        return Math.max(
                LEAST_SILENCE_MILLIS,
                Math.max(SILENCE_TARGETS * targetLatencyMillis, SILENCE_GAPS * targetGapMillis));
    }

    /**
     * The service for one call.
     *
     * @param point a number that spreads the calls evenly, the same for each attempt of a call
     */
    public String selectService(int point) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        int rest = Math.floorMod(point, total);
        for (WeightedService each : services) {
            rest -= each.weight();
            if (rest < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}

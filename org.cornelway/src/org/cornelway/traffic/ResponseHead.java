package org.cornelway.traffic;

import java.util.Optional;
import java.util.Set;
import org.cornelway.dispatch.LimitNotice;

/**
 * The parsed head of a backend server's response. Immutable.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to; empty if it is not stated
 * @param signed whether the response has the signature header of a backend server that processed
 *     the request; only its presence is checked
 * @param notRun whether the server states that it did not run the request and never will
 * @param misdirected whether another server answers at this address, or the server does not hold
 *     the model
 * @param serverId id of the server that sent the response; empty if it is not stated
 * @param load the server's load; empty if it is not stated
 * @param contentEncoded whether the body has a content encoding and thus is not what the server
 *     produced
 * @param keepAliveMillis time for which the connection may stay idle; empty if it is not stated
 * @param closing whether the server closes the connection after this response
 * @param leaving whether the server is leaving and takes no new calls
 * @param retryAfterMillis time for which a server that refused a call wants no calls from this
 *     process; empty if it is not stated
 * @param limit rate of calls that the server takes from all entries together
 */
public record ResponseHead(
        int status,
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        boolean misdirected,
        Optional<String> serverId,
        Optional<ReportedLoad> load,
        boolean contentEncoded,
        Optional<Long> keepAliveMillis,
        boolean closing,
        boolean leaving,
        Optional<Long> retryAfterMillis,
        LimitNotice limit) {
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

    /**
     * Whether the response proves that its request did not run and never will. A response without
     * the id of its request may be a late copy that belongs to an earlier one.
     */
    public boolean provesNotRun() {
        return notRun && requestId.isPresent();
    }

    /** Whether the status promises the caller that its call has not run, if it is passed on. */
    public boolean promisesNotRun() {
        return PROMISES_NOT_RUN.contains(status);
    }

    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}

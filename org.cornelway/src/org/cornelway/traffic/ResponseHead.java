package org.cornelway.traffic;

import java.util.Optional;

/**
 * What the head of a backend server's answer says. Immutable.
 *
 * @param status HTTP status
 * @param requestId id of the request that the answer belongs to; empty where it is not said
 * @param signed whether the answer has the mark of a backend server that worked on the request
 * @param notRun whether the server states that it did not run the request and never will
 * @param misdirected whether another server answers at this address, or the model is not there
 * @param serverId id of the server that answered, where it says so
 * @param load the server's load, where it tells it
 * @param contentEncoded whether the body is encoded, so that it is not what the server made
 * @param keepAliveMillis time that the connection may stay idle; empty where it is not said
 * @param closing whether the server closes the connection after this answer
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
        boolean closing) {
    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}

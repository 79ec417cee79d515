package org.cornelway.dispatch;

import org.cornelway.directory.ServerRecord;

/**
 * A backend server that a call may be sent to, with its state at one moment. Immutable.
 *
 * @param server directory record of the server
 * @param inFlight calls that this process has sent to it and that have not ended
 * @param reportedRequests requests running and waiting in it according to its last report; 0 if
 *     there is no recent report; or, if more, those that the controller has counted over all
 *     entries
 * @param slowness current processing time as a multiple of the usual one; 1 if there is no recent
 *     report
 * @param errorRate share of recent calls that failed there, 0 to 1
 * @param suspect whether it is avoided for now, because a call to it failed recently, it refused a
 *     connection or it stopped sending during a stream
 * @param sameZone whether it is in the availability zone of this process
 */
public record Candidate(
        ServerRecord server,
        int inFlight,
        int reportedRequests,
        double slowness,
        double errorRate,
        boolean suspect,
        boolean sameZone) {}

package org.cornelway.dispatch;

import org.cornelway.directory.ServerRecord;

/**
 * A backend server that a call may go to, as seen at one moment. Immutable.
 *
 * @param server the server
 * @param inFlight calls of this process that it has not answered
 * @param reportedRequests calls running and waiting in it as it last told; 0 when that is too old
 * @param slowness time that work takes there, as a multiple of the usual
 * @param errorRate recent share of calls that it failed, 0 to 1
 * @param suspect whether it went silent or refused connections a moment ago
 * @param sameZone whether it stands in the availability zone of this process
 */
public record Candidate(
        ServerRecord server,
        int inFlight,
        int reportedRequests,
        double slowness,
        double errorRate,
        boolean suspect,
        boolean sameZone) {}

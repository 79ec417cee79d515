package org.cornelway.dispatch;

import org.cornelway.directory.ServerRecord;

/**
 * A backend server that a call may be sent to, with its state at one moment. Immutable.
 *
 * @param server directory record of the server
 * @param inFlight calls that this process has sent to it and that have not ended
 * @param reportedRequests requests of all entries running and waiting in it, as estimated from its
 *     reports, the controller's counts and the calls of this process
 * @param comparableRequests these requests, estimated so that entries which compare servers by it
 *     do not all choose the same one; see {@link OtherRequests}
 * @param slowness current processing time as a multiple of that of its peers; 1 if nothing recent
 *     is known
 * @param errorRate share of recent calls that failed there, 0 to 1
 * @param suspect whether it is avoided for now, because a call to it failed recently, it refused a
 *     connection or it stopped sending during a stream
 * @param sameZone whether it is in the availability zone of this process
 * @param slow whether it is slow against its peers, as {@link SlowServers} defines it
 * @param tokens tokens that all running calls are expected to hold in its memory
 * @param tokenCapacity tokens that its memory holds; 0 if it is no engine or this is not known
 */
public record Candidate(
        ServerRecord server,
        int inFlight,
        int reportedRequests,
        double comparableRequests,
        double slowness,
        double errorRate,
        boolean suspect,
        boolean sameZone,
        boolean slow,
        long tokens,
        long tokenCapacity) {
    /** Creates a candidate that is not slow and whose memory is not known. */
    public Candidate(
            ServerRecord server,
            int inFlight,
            int reportedRequests,
            double slowness,
            double errorRate,
            boolean suspect,
            boolean sameZone) {
        this(
                server,
                inFlight,
                reportedRequests,
                Math.max(inFlight, reportedRequests),
                slowness,
                errorRate,
                suspect,
                sameZone,
                false,
                0,
                0);
    }

    /** Returns the requests in the server, as far as this process can tell. */
    public int requests() {
        return Math.max(inFlight, reportedRequests);
    }

    /** Returns the requests per slot if the call is added. */
    public double slotLoadWithCall() {
        return (requests() + 1.0) / server.slots();
    }

    /**
     * Returns the share of the engine's memory that is taken if a call is added; 0 if the capacity
     * is not known.
     *
     * @param callTokens tokens that the call will hold
     */
    public double memoryLoadWith(long callTokens) {
        return tokenCapacity > 0 ? (tokens + callTokens) / (double) tokenCapacity : 0;
    }
}

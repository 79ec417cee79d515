package org.cornelway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/** Records the sends of one call and their outcomes. Confined to the traffic thread. */
final class SendHistory {
    /** Maximum number of sends of one call, including those that were refused. */
    private static final int MAX_SENDS = 5;

    private final Set<String> mTried = new HashSet<>();
    private final Set<UpstreamConnection> mConnections = new HashSet<>();
    private final Set<ServerIncarnation> mRefusedBy = new HashSet<>();

    /** Ids of the servers where the call may have run. */
    private final Set<String> mPossibleRunServers = new HashSet<>();

    /** The last of them. */
    private Optional<String> mLastPossibleRunServer = Optional.empty();

    private String mLastReason = "none";
    private int mSends;
    private int mPossibleRunCount;
    private boolean mArrived;
    private int mMaxServers = Integer.MAX_VALUE;

    /**
     * Limits the number of servers that the call may run at.
     *
     * @param maxServers the largest number; a server where the call may have run counts once
     */
    void limitServers(int maxServers) {
        mMaxServers = Math.max(1, maxServers);
    }

    /** Records a send to a server. */
    void recordSend(String server) {
        mSends++;
        mTried.add(server);
    }

    /** Records the connection that the call is sent on. */
    void recordConnection(UpstreamConnection connection) {
        mConnections.add(connection);
    }

    /** Whether the call was sent on a connection. */
    boolean wasSentOn(UpstreamConnection connection) {
        return mConnections.contains(connection);
    }

    /** Records that a send reached its server. */
    void recordArrival() {
        mArrived = true;
    }

    /** Records that the call may have run at a server. */
    void recordPossibleRun(String server) {
        mArrived = true;
        mPossibleRunCount++;
        mPossibleRunServers.add(server);
        mLastPossibleRunServer = Optional.of(server);
    }

    /** Records why a send ended. */
    void recordEnd(String reason) {
        mLastReason = reason;
    }

    /** Whether the call was last sent in vain to this server, of those where it may have run. */
    boolean wasLastAt(String server) {
        return mLastPossibleRunServer.equals(Optional.of(server));
    }

    /** Whether the call may have run at as many servers as it may. */
    boolean hasUsedServers() {
        return mPossibleRunServers.size() >= mMaxServers;
    }

    /**
     * Whether a run at this server, besides those at servers that run the call now, keeps the
     * number of servers within the limit.
     */
    boolean mayRunAt(String server, Set<String> running) {
        Set<String> servers = new HashSet<>(mPossibleRunServers);
        servers.addAll(running);
        servers.add(server);
        return servers.size() <= mMaxServers;
    }

    /**
     * Records a refusal.
     *
     * @return whether the same incarnation of the server has refused the call before
     */
    boolean recordRefusal(ServerIncarnation incarnation) {
        return !mRefusedBy.add(incarnation);
    }

    /** Ids of the servers that the call was sent to, including those that were not reached. */
    Set<String> tried() {
        return mTried;
    }

    /** Whether a send reached a server. Another send then counts against the retry budget. */
    boolean hasArrived() {
        return mArrived;
    }

    /** Number of sends, including those that did not reach a server. */
    int sends() {
        return mSends;
    }

    /** Whether a send is left for a failure besides the next one. */
    boolean hasSpareSend() {
        return mSends < MAX_SENDS - 1;
    }

    /** Whether the call was sent as often as a call may be, whatever the outcomes. */
    boolean isExhausted() {
        return mSends >= MAX_SENDS;
    }

    /** Whether the call was sent as often as a call may be without proof that it did not run. */
    boolean isExhaustedByRuns() {
        return mPossibleRunCount >= MAX_SENDS;
    }

    /** Number of sends without proof that the call did not run. */
    int possibleRunCount() {
        return mPossibleRunCount;
    }

    /** The reason recorded by the last {@link #recordEnd}; "none" if no send has ended. */
    String lastReason() {
        return mLastReason;
    }
}

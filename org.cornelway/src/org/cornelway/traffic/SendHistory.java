package org.cornelway.traffic;

import java.util.HashSet;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/** What became of the sends of one call so far. Confined to the traffic thread. */
final class SendHistory {
    private final Set<String> mTried = new HashSet<>();
    private final Set<ServerIncarnation> mRefusedBy = new HashSet<>();
    private String mLastReason = "none";
    private int mSends;
    private int mMayHaveRun;
    private boolean mArrived;

    /** Notes a send to a server. */
    void recordSend(String server) {
        mSends++;
        mTried.add(server);
    }

    /** Notes that a send reached its server. */
    void recordArrival() {
        mArrived = true;
    }

    /** Notes that the call may have run at its server. */
    void recordPossibleRun() {
        mArrived = true;
        mMayHaveRun++;
    }

    /** Notes why a send ended. */
    void recordEnd(String reason) {
        mLastReason = reason;
    }

    /** Notes a refusal; true if the server had refused the call before. */
    boolean recordRefusal(ServerIncarnation life) {
        return !mRefusedBy.add(life);
    }

    /** Servers that the call was sent to. */
    Set<String> tried() {
        return mTried;
    }

    /** Whether a send reached a server, so that another one counts as sent again. */
    boolean hasArrived() {
        return mArrived;
    }

    int sends() {
        return mSends;
    }

    /** Sends without proof that the call did not run. */
    int possibleRunCount() {
        return mMayHaveRun;
    }

    String lastReason() {
        return mLastReason;
    }
}

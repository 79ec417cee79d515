package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.time.Deadline;

/**
 * Reads what a server says about itself in the heads of its responses, on the connection of one
 * call. Does not hold on to the call, since an idle connection keeps its last reader. Confined to
 * the traffic thread.
 */
final class NoticeReader {
    private final TrafficContext mContext;
    private final ServerRecord mServer;
    private final String mRequestId;

    /** When the call was sent, in milliseconds since the epoch. */
    private final long mSentMillis;

    /**
     * Creates the reader of a call that is sent now.
     *
     * @param requestId id of the call, for the log
     */
    NoticeReader(TrafficContext context, ServerRecord server, String requestId) {
        mContext = context;
        mServer = server;
        mRequestId = requestId;
        mSentMillis = context.clock().nowMillis();
    }

    /** Records what the server says of itself, unless another server has answered. */
    void read(ResponseHead head) {
        if (!head.serverId().orElse(mServer.id()).equals(mServer.id())) {
            return;
        }
        if (head.leaving() && mContext.notices().recordLeaving(mServer.incarnation())) {
            mContext.log().write("server.leaving", "id", mRequestId, "server", mServer.id());
        }
        head.retryAfterMillis().ifPresent(this::recordPause);
        if (head.requestId().orElse(mRequestId).equals(mRequestId)) {
            recordLimit(head.limit());
        }
    }

    /** Records the limit in an answer to this call; one to another call may be much older. */
    private void recordLimit(LimitNotice notice) {
        Optional<LimitObservation> observation =
                LimitObservation.of(
                        mServer.incarnation(), notice, mSentMillis, mContext.clock().nowMillis());
        if (observation.isEmpty()) {
            logLimit("malformed");
        } else if (mContext.limits().record(observation.get())) {
            logLimit(observation.get().callsPerSecond());
        }
    }

    private void logLimit(Object callsPerSecond) {
        mContext.log()
                .write(
                        "server.limit",
                        "id",
                        mRequestId,
                        "server",
                        mServer.id(),
                        "per_second",
                        callsPerSecond,
                        "age_ms",
                        0);
    }

    private void recordPause(long millis) {
        Deadline until = Deadline.after(mContext.clock().nowMillis(), millis);
        mContext.notices().recordPause(mServer.incarnation(), until);
        mContext.log()
                .write(
                        "server.paused",
                        "id",
                        mRequestId,
                        "server",
                        mServer.id(),
                        "ms",
                        millis,
                        "until",
                        until.epochMillis());
    }
}

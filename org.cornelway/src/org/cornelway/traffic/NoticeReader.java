package org.cornelway.traffic;

import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;
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

    /**
     * @param requestId id of the call, for the log
     */
    NoticeReader(TrafficContext context, ServerRecord server, String requestId) {
        mContext = context;
        mServer = server;
        mRequestId = requestId;
    }

    /** Records that the server is leaving or wants no calls, unless another server has answered. */
    void read(ResponseHead head) {
        if (!head.serverId().orElse(mServer.id()).equals(mServer.id())) {
            return;
        }
        if (head.leaving() && mContext.notices().recordLeaving(mServer.incarnation())) {
            mContext.log().write("server.leaving", "id", mRequestId, "server", mServer.id());
        }
        head.retryAfterMillis().ifPresent(this::recordPause);
        if (head.limit() instanceof LimitNotice.Rate rate) {
            logLimit(rate.callsPerSecond());
        } else if (head.limit() instanceof LimitNotice.Malformed) {
            logLimit("malformed");
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
                        callsPerSecond);
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

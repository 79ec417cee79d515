package org.cornelway.platform;

import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;

/**
 * Receives what model engines say about themselves in their replies to reports and orders.
 * Implementations are thread-safe and return at once.
 */
public interface EngineNoticeListener {
    /** Ignores what engines say. */
    EngineNoticeListener NONE =
            new EngineNoticeListener() {
                @Override
                public void onLeaving(ServerRecord server) {}

                @Override
                public void onReply(ServerRecord server, LimitNotice notice, long sentMillis) {}
            };

    /** Called for each complete reply in which an engine says that it is leaving. */
    void onLeaving(ServerRecord server);

    /**
     * Called for each complete reply of an engine, whatever its status.
     *
     * @param server the engine that has replied
     * @param sentMillis when the request was sent or a little earlier, in milliseconds since the
     *     epoch
     */
    void onReply(ServerRecord server, LimitNotice notice, long sentMillis);
}

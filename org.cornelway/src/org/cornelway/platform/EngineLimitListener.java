package org.cornelway.platform;

import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;

/**
 * Receives what model engines say about the rate of calls that they take, in their replies to
 * reports and orders. Implementations are thread-safe and return at once.
 */
public interface EngineLimitListener {
    /**
     * Called for each complete reply of an engine, whatever its status.
     *
     * @param server the engine that has replied
     * @param sentMillis when the request was sent or a little earlier, in milliseconds since the
     *     epoch
     */
    void onReply(ServerRecord server, LimitNotice notice, long sentMillis);
}

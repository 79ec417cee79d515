package org.cornelway.traffic;

import java.util.Optional;

/**
 * The headers that this system sets on a call to a backend server. Immutable.
 *
 * @param serverId id of the intended server; a server with another id refuses the call
 * @param remainingMillis time from sending the call until its deadline
 * @param enginePriority priority in the queue of the engine, 0 first; empty for a plain service
 * @param lastEventId id of the last event that the caller received; empty if no stream is resumed
 * @param identity what the server is told of the customer of the call
 */
public record ForwardedHeaders(
        String serverId,
        long remainingMillis,
        Optional<Integer> enginePriority,
        Optional<String> lastEventId,
        CallIdentity identity) {}

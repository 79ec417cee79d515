package org.cornelway.traffic;

import java.util.Optional;

/**
 * What the system itself tells a backend server about a call. Immutable.
 *
 * @param serverId the server meant; any other refuses the call
 * @param remainingMillis time left to the call
 * @param enginePriority rank in the engine's queue, 0 first; empty for a plain service
 * @param lastEventId last event that the caller has, on a stream that goes on
 */
public record ForwardedRequestHead(
        String serverId,
        long remainingMillis,
        Optional<Integer> enginePriority,
        Optional<String> lastEventId) {}

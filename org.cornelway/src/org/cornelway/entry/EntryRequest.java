package org.cornelway.entry;

import org.cornelway.routing.RoutingTarget;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.time.Deadline;

/**
 * A caller's request, checked. Immutable.
 *
 * @param id unique id, over restarts too
 * @param target what it is for
 * @param team the calling team, or empty
 * @param deadline when it must have ended
 * @param repeatable whether it may be sent more than once
 * @param deduplicated whether the agents' intent log keeps it from running twice
 * @param template the request for the agent, without id and revisions
 */
public record EntryRequest(
        String id,
        RoutingTarget target,
        String team,
        Deadline deadline,
        boolean repeatable,
        boolean deduplicated,
        ExchangeRequest template) {}

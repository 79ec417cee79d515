package org.cornelway.entry;

import org.cornelway.routing.RoutingTarget;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.time.Deadline;

/**
 * A caller's request after validation. Immutable.
 *
 * @param id id of the request, unique also across restarts of the entry
 * @param target the model or plain service that the request is for
 * @param team name of the caller's team; empty if there is none
 * @param deadline time by which the request must have ended
 * @param repeatable whether the request may be run more than once
 * @param deduplicated whether the agents' intent log keeps the request from running twice
 * @param template the request to an agent, without the fields that each call sets: the attempt's
 *     id, the attach flag, the next sequence and the document revisions
 */
public record EntryRequest(
        String id,
        RoutingTarget target,
        String team,
        Deadline deadline,
        boolean repeatable,
        boolean deduplicated,
        ExchangeRequest template) {}

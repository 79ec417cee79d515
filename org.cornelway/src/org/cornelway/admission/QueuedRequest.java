package org.cornelway.admission;

import org.cornelway.time.Deadline;

/**
 * A request that waits at an agent. Immutable.
 *
 * @param requestId id of the request
 * @param queueClass its urgency class
 * @param deadline time by which it must have ended
 * @param model the model, or the name of the plain service
 * @param adapter the adapter; empty if the request uses none or is for a plain service
 * @param predictedTokens predicted length of the answer in tokens, 0 if unknown
 * @param arrivedMillis time of its arrival at the agent in milliseconds since the epoch
 */
public record QueuedRequest(
        String requestId,
        QueueClass queueClass,
        Deadline deadline,
        String model,
        String adapter,
        int predictedTokens,
        long arrivedMillis) {}

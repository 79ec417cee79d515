package org.cornelway.admission;

import org.cornelway.time.Deadline;

/**
 * A request that waits at an agent. Immutable.
 *
 * @param requestId the request
 * @param queueClass its urgency class
 * @param deadline time by which it must have ended
 * @param model the model, empty for a plain service
 * @param adapter the adapter, or empty
 * @param predictedTokens predicted length of the answer in tokens, 0 if unknown
 * @param arrivedMillis time of its arrival at the agent
 */
public record QueuedRequest(
        String requestId,
        QueueClass queueClass,
        Deadline deadline,
        String model,
        String adapter,
        int predictedTokens,
        long arrivedMillis) {}

package org.cornelway.intent;

import org.cornelway.time.Deadline;

/**
 * A request to the intent log for permission to send one call. Immutable.
 *
 * @param key the team and the caller's idempotency key; does not name the service, since each log
 *     belongs to one service
 * @param fingerprint digest of the call, which shows whether a key is reused for a different call
 * @param attempt id of this attempt, unique across all agents
 * @param deadline time after which the decision is no longer needed
 */
public record IntentRequest(String key, String fingerprint, String attempt, Deadline deadline) {}

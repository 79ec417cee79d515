package org.cornelway.intent;

import org.cornelway.time.Deadline;

/**
 * Asks for the right to send one call. Immutable.
 *
 * @param key the caller's idempotency key, qualified by team and service
 * @param fingerprint digest of the call, so that a key used for another call is noticed
 * @param attempt unique id of this attempt
 * @param deadline when the decision is of no use any more
 */
public record IntentRequest(String key, String fingerprint, String attempt, Deadline deadline) {}

package org.cornelway.intent;

import org.cornelway.time.Deadline;

/**
 * A request to the intent log for permission to send one call. Immutable.
 *
 * @param key the caller's idempotency key, preceded by the team; each service has a log of its own
 * @param fingerprint digest of the call, which shows whether a key is reused for a different call
 * @param attempt unique id of this attempt
 * @param deadline time after which the decision is no longer needed
 */
public record IntentRequest(String key, String fingerprint, String attempt, Deadline deadline) {}

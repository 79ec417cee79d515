package org.cornelway.intent;

/**
 * The response to a call that ran, as the intent log keeps it. Immutable by convention.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the body, empty if it was too large to keep
 * @param retained whether the body was kept
 */
public record RecordedOutcome(int status, String contentType, byte[] body, boolean retained) {}

package org.cornelway.platform;

/**
 * The complete response of a plain service. Immutable by convention.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the body
 */
public record PlainResponse(int status, String contentType, byte[] body) {}

package org.cornelway.platform;

/**
 * A plain service's whole answer. Immutable by convention.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the body
 */
public record PlainResponse(int status, String contentType, byte[] body) {}

package org.cornelway.platform;

/**
 * A call to a plain service. Immutable by convention.
 *
 * @param requestId id of the request
 * @param method HTTP method
 * @param path path with query
 * @param contentType media type of the body, or empty
 * @param body the body
 * @param idempotencyKey the caller's idempotency key, or empty
 */
public record PlainCall(
        String requestId,
        String method,
        String path,
        String contentType,
        byte[] body,
        String idempotencyKey) {}

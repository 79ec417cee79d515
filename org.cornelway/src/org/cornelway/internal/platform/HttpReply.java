package org.cornelway.internal.platform;

/**
 * A complete HTTP response. Immutable by convention.
 *
 * @param status HTTP status
 * @param contentType media type, empty if none was sent
 * @param body the body
 * @param entityTag value of the ETag header, or empty
 */
public record HttpReply(int status, String contentType, byte[] body, String entityTag) {
    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}

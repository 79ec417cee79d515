package org.cornelway.internal.platform;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP response. Immutable by convention.
 *
 * @param status HTTP status
 * @param contentType media type, empty if none was sent
 * @param body the body
 * @param entityTag value of the ETag header, or empty
 * @param headers all headers, by name in lower case; of a header that is repeated, the last value
 */
public record HttpReply(
        int status,
        String contentType,
        byte[] body,
        String entityTag,
        Map<String, String> headers) {
    /** Returns the value of a header; empty if there is none. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}

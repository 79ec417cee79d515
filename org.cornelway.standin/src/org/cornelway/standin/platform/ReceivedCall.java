package org.cornelway.standin.platform;

import java.util.Map;

/**
 * A call that a backend server received. Immutable by convention.
 *
 * @param receivedNanos when it was received, as {@link System#nanoTime}
 * @param requestLine the HTTP request line
 * @param headers header values by lower-case name
 * @param body the request body
 * @param executed whether the server executed the call
 */
public record ReceivedCall(
        long receivedNanos,
        String requestLine,
        Map<String, String> headers,
        String body,
        boolean executed) {
    /** The value of a header, or the empty string if it is absent. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}

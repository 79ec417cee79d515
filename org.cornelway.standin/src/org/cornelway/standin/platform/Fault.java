package org.cornelway.standin.platform;

/** A fault that a test injects into a {@link BackendServerStandin}. */
public enum Fault {
    /** The server works normally. */
    NONE,
    /** The server executes a call but sends no response. */
    NO_RESPONSE,
    /** The server executes a call and closes the connection without a response. */
    CLOSE_CONNECTION,
    /** The server closes the connection in the middle of a response. */
    TRUNCATED_RESPONSE,
    /** Responses have neither a length nor chunks, and end with the connection. */
    UNFRAMED,
    /** As {@link #UNFRAMED}, but a stream ends in the middle of an event. */
    UNFRAMED_PARTIAL_EVENT,
    /** The server sends a response to another request before the correct response. */
    MISMATCHED_RESPONSE,
    /** The server responds with status 500. */
    INTERNAL_ERROR,
    /**
     * The server stops in the middle of a stream, but goes on sending a byte now and then that
     * completes no event.
     */
    TRICKLE,
    /** The server sends bytes that are no response until the connection is closed. */
    ENDLESS_BYTES,
    /** The server sends a response head that does not end until the connection is closed. */
    ENDLESS_HEAD,
    /** As {@link #ENDLESS_HEAD}, in the shortest header lines. */
    ENDLESS_SHORT_HEADERS,
    /** The server sends the head of a response and a body that does not end. */
    ENDLESS_BODY,
    /** The server rejects calls with status 503 and declares that it did not execute them. */
    OVERLOADED,
    /** The id of the event in the middle of a stream is wrong. */
    WRONG_EVENT_ID,
    /** A stream goes on with an event that does not end, in small chunks and without a pause. */
    ENDLESS_EVENT,
    /** The server executes a call, but first repeats a refusal that does not say of which. */
    REPEATED_REFUSAL,
    /** The server responds with status 503 and does not say whether it executed the call. */
    UNAVAILABLE,
    /** The server responds with an error to calls that resume a stream. */
    RESUME_REJECTED;

    /** Whether responses have neither a length nor chunks. */
    boolean isUnframed() {
        return this == UNFRAMED || this == UNFRAMED_PARTIAL_EVENT;
    }
}

package org.cornelway.internal.platform;

/** Thrown if no byte of a request was sent, because there was no connection. */
public final class NotSentException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param message names the endpoint and the cause
     */
    public NotSentException(String message) {
        super(message, null, false, false);
    }
}

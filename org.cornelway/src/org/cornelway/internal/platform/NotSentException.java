package org.cornelway.internal.platform;

/** A request of which no byte left, because there was no connection. */
public final class NotSentException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param message which endpoint, and why
     */
    public NotSentException(String message) {
        super(message, null, false, false);
    }
}

package org.cornelway.traffic;

/** Thrown if the bytes of a server's answer cannot be used. Immutable. */
final class BrokenAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    BrokenAnswerException(String message) {
        super(message);
    }
}

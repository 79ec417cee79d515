package org.cornelway.platform;

/**
 * A permission to send a message, which may expire while the message waits to be sent.
 *
 * <p>Checked immediately before the message is written to the connection, on the thread that writes
 * it. Implementations are thread-safe.
 */
@FunctionalInterface
public interface SendPermit {
    /** The permit of a message that may always be sent. */
    SendPermit ALWAYS = () -> true;

    /** Whether the message may be sent now. */
    boolean isValid();
}

package org.cornelway.entry;

import org.cornelway.exchange.Outcome;

/**
 * Receives one request's answer. Called by one thread at a time; {@code end} is called exactly once
 * and last.
 */
public interface CallerSink {
    /** Receives the next part of the answer. */
    void chunk(byte[] data);

    /** Whether what was received so far can be taken back. */
    boolean canReset();

    /** Takes back what was received so far; the answer starts anew. */
    void reset();

    /** Receives the ending. */
    void end(Outcome ending);
}

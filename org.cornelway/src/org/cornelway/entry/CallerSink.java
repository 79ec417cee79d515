package org.cornelway.entry;

import org.cornelway.exchange.Outcome;

/**
 * Receives one request's answer. Called by one thread at a time; {@code end} is called exactly once
 * and last.
 */
public interface CallerSink {
    /** Receives the next chunk of the answer. */
    void onChunk(byte[] data);

    /** Returns whether the chunks received so far can be discarded. */
    boolean canReset();

    /** Discards the chunks received so far; the answer starts again from its beginning. */
    void reset();

    /** Receives the outcome, after the last chunk of the answer. */
    void onEnd(Outcome outcome);
}

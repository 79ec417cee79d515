package org.cornelway.exchange;

/**
 * Receives the chunks of an answer in order. Called while the lock of the answer's buffer is held;
 * implementations must not block.
 */
public interface AnswerSink {
    /** Receives a chunk; sequence numbers start at 0. */
    void onChunk(long sequence, byte[] data);

    /** Receives the outcome; no further call follows. */
    void onEnd(Outcome outcome);
}

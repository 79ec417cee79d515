package org.cornelway.exchange;

/** Receives an answer's parts in order. Called under the answer's lock; must not block. */
public interface AnswerSink {
    /** Receives a chunk. */
    void chunk(long sequence, byte[] data);

    /** Receives the ending; nothing follows. */
    void end(Outcome ending);
}

package org.cornelway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the chunks of an answer, so that an entry that reconnects can resume it. The agent discards
 * the buffer together with its exchange, a short time after the deadline of the request.
 *
 * <p>Invariants: sequence numbers are 0, 1, 2 and so on; there is at most one outcome and no chunk
 * after it. Thread-safe; only the sink attached last receives data.
 */
public final class AnswerBuffer {
    private final List<byte[]> mChunks = new ArrayList<>();
    private Optional<AnswerSink> mSink = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();

    /** Appends a chunk; does nothing if the answer has ended. */
    public synchronized void append(byte[] data) {
        if (mOutcome.isPresent()) {
            return;
        }
        long sequence = mChunks.size();
        mChunks.add(data);
        mSink.ifPresent(sink -> sink.onChunk(sequence, data));
    }

    /**
     * Ends the answer and sets the chunk count of the outcome.
     *
     * @return false if the answer had already ended
     */
    public synchronized boolean end(Outcome outcome) {
        if (mOutcome.isPresent()) {
            return false;
        }
        Outcome counted =
                new Outcome(
                        mChunks.size(),
                        outcome.code(),
                        outcome.message(),
                        outcome.httpStatus(),
                        outcome.contentType());
        mOutcome = Optional.of(counted);
        mSink.ifPresent(sink -> sink.onEnd(counted));
        return true;
    }

    /**
     * Attaches a sink in place of the previous one. Replays to the new sink the chunks from {@code
     * nextSequence} on, and the outcome if the answer has ended.
     */
    public synchronized void attach(AnswerSink sink, long nextSequence) {
        mSink = Optional.of(sink);
        for (long sequence = nextSequence; sequence < mChunks.size(); sequence++) {
            sink.onChunk(sequence, mChunks.get((int) sequence));
        }
        mOutcome.ifPresent(sink::onEnd);
    }

    /** Detaches a sink if it is the attached one. */
    public synchronized void detach(AnswerSink sink) {
        if (mSink.isPresent() && mSink.get() == sink) {
            mSink = Optional.empty();
        }
    }

    /** Whether the answer has ended. */
    public synchronized boolean hasEnded() {
        return mOutcome.isPresent();
    }

    /** Whether any chunk was appended. */
    public synchronized boolean hasChunks() {
        return !mChunks.isEmpty();
    }
}

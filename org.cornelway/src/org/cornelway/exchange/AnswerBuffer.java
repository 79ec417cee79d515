package org.cornelway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Keeps an answer's chunks until its deadline, so that an entry can attach again and resume.
 *
 * <p>Invariants: sequences are 0, 1, 2 and so on; there is one ending and nothing after it.
 * Thread-safe; one sink at a time, the latest wins.
 */
public final class AnswerBuffer {
    private final List<byte[]> mChunks = new ArrayList<>();
    private Optional<AnswerSink> mSink = Optional.empty();
    private Optional<Outcome> mEnding = Optional.empty();

    /** Appends a chunk; ignored after the ending. */
    public synchronized void append(byte[] data) {
        if (mEnding.isPresent()) {
            return;
        }
        long sequence = mChunks.size();
        mChunks.add(data);
        mSink.ifPresent(sink -> sink.chunk(sequence, data));
    }

    /** Ends the answer, counting its chunks; false if it had ended. */
    public synchronized boolean end(Outcome ending) {
        if (mEnding.isPresent()) {
            return false;
        }
        Outcome counted =
                new Outcome(
                        mChunks.size(),
                        ending.code(),
                        ending.message(),
                        ending.httpStatus(),
                        ending.contentType());
        mEnding = Optional.of(counted);
        mSink.ifPresent(sink -> sink.end(counted));
        return true;
    }

    /** Attaches a sink and replays from a sequence on. */
    public synchronized void attach(AnswerSink sink, long nextSequence) {
        mSink = Optional.of(sink);
        for (long sequence = nextSequence; sequence < mChunks.size(); sequence++) {
            sink.chunk(sequence, mChunks.get((int) sequence));
        }
        mEnding.ifPresent(sink::end);
    }

    /** Detaches a sink if it is still the attached one. */
    public synchronized void detach(AnswerSink sink) {
        if (mSink.isPresent() && mSink.get() == sink) {
            mSink = Optional.empty();
        }
    }

    /** Whether the answer has ended. */
    public synchronized boolean hasEnded() {
        return mEnding.isPresent();
    }

    /** Whether any chunk was appended. */
    public synchronized boolean hasChunks() {
        return !mChunks.isEmpty();
    }
}

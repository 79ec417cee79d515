package org.cornelway.exchange;

/**
 * Puts an answer's frames in order at the entry and finds out what is missing.
 *
 * <p>Invariant: each sequence is delivered once, in order, and only to its own request. Not
 * thread-safe; confined to the thread of its request.
 */
public final class AnswerAssembler {
    /** What a frame means for the exchange. */
    public enum Verdict {
        /** The next part; deliver it. */
        DELIVER,
        /** Seen before, or of another request; drop it. */
        DROP,
        /** Parts before it are missing; attach again. */
        GAP
    }

    private final String mRequestId;
    private long mNextSequence;
    private boolean mEnded;

    /**
     * @param requestId the request whose frames are accepted
     */
    public AnswerAssembler(String requestId) {
        mRequestId = requestId;
    }

    /** Judges a chunk; a delivered one advances the sequence. */
    public Verdict chunk(String requestId, long sequence) {
        if (mEnded || !mRequestId.equals(requestId) || sequence < mNextSequence) {
            return Verdict.DROP;
        }
        if (sequence > mNextSequence) {
            return Verdict.GAP;
        }
        mNextSequence++;
        return Verdict.DELIVER;
    }

    /** Judges a final mark. */
    public Verdict end(String requestId, long chunkCount) {
        if (mEnded || !mRequestId.equals(requestId)) {
            return Verdict.DROP;
        }
        if (chunkCount != mNextSequence) {
            return Verdict.GAP;
        }
        mEnded = true;
        return Verdict.DELIVER;
    }

    /** The first sequence not delivered yet. */
    public long nextSequence() {
        return mNextSequence;
    }
}

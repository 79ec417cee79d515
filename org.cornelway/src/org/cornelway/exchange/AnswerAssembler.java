package org.cornelway.exchange;

/**
 * Puts an answer's frames in order at the entry and finds out what is missing.
 *
 * <p>Invariant: each sequence is delivered once, in order, and only to its own request. Not
 * thread-safe; confined to the thread of its request.
 */
public final class AnswerAssembler {
    /** What a frame means for the exchange. */
    public enum FrameAction {
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
    public FrameAction acceptChunk(String requestId, long sequence) {
        if (mEnded || !mRequestId.equals(requestId) || sequence < mNextSequence) {
            return FrameAction.DROP;
        }
        if (sequence > mNextSequence) {
            return FrameAction.GAP;
        }
        mNextSequence++;
        return FrameAction.DELIVER;
    }

    /** Judges a final mark. */
    public FrameAction acceptFinal(String requestId, long chunkCount) {
        if (mEnded || !mRequestId.equals(requestId)) {
            return FrameAction.DROP;
        }
        if (chunkCount != mNextSequence) {
            return FrameAction.GAP;
        }
        mEnded = true;
        return FrameAction.DELIVER;
    }

    /** The first sequence not delivered yet. */
    public long nextSequence() {
        return mNextSequence;
    }
}

package org.cornelway.exchange;

/**
 * The sequence of the frames of one answer, by which the entry detects gaps, duplicates and frames
 * of other requests.
 *
 * <p>Invariant: each chunk is delivered at most once, in the order of the sequence numbers, and
 * only to its own request. Not thread-safe; confined to the thread of its request.
 */
public final class FrameSequence {
    /** What to do with a frame. */
    public enum FrameAction {
        /** The frame is the next one; deliver it. */
        DELIVER,
        /** The frame is a duplicate or belongs to another request; drop it. */
        DROP,
        /** Earlier frames are missing; the entry must attach again to get them. */
        GAP
    }

    private final String mRequestId;
    private long mNextSequence;
    private boolean mEnded;

    /**
     * @param requestId the request whose frames are accepted
     */
    public FrameSequence(String requestId) {
        mRequestId = requestId;
    }

    /** Decides what to do with a chunk; a delivered chunk advances the sequence. */
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

    /**
     * Decides what to do with a final frame; a delivered one ends the sequence.
     *
     * @param chunkCount number of chunks of the complete answer
     */
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

    /** Returns the sequence number of the next chunk to deliver. */
    public long nextSequence() {
        return mNextSequence;
    }
}

package org.cornelway.entry;

import java.util.Optional;
import org.cornelway.exchange.FrameSequence;
import org.cornelway.platform.Member;
import org.cornelway.routing.SlowAgentDetector;

/**
 * One attempt to run a request at one agent. It takes more than one call if the connection is lost
 * and the entry reconnects.
 *
 * <p>Confined to the worker of its exchange.
 */
final class RequestAttempt {
    private final String mId;
    private final Member mAgent;
    private final Optional<String> mIncarnation;
    private final FrameSequence mFrameSequence;
    private int mCallCount;
    private long mLastFrameMillis;
    private int mCallCountAtLastChunk;
    private long mLastChunkMillis;

    /**
     * @param id id of the attempt, which the agent receives as the request id
     * @param incarnation the incarnation that the agent reported last before the request was sent,
     *     if any
     */
    RequestAttempt(String id, Member agent, Optional<String> incarnation, long nowMillis) {
        mId = id;
        mAgent = agent;
        mIncarnation = incarnation;
        mFrameSequence = new FrameSequence(id);
        mLastFrameMillis = nowMillis;
    }

    String id() {
        return mId;
    }

    Member agent() {
        return mAgent;
    }

    Optional<String> incarnation() {
        return mIncarnation;
    }

    FrameSequence frameSequence() {
        return mFrameSequence;
    }

    /**
     * Returns the number of recorded calls. {@link EntryExchange} records a reconnect twice: when
     * it schedules the call and when it makes it. The count is thus 1 during the first call, 3
     * after the first reconnect and 5 after the second.
     */
    int callCount() {
        return mCallCount;
    }

    void recordCall(long nowMillis) {
        mCallCount++;
        mLastFrameMillis = nowMillis;
    }

    /**
     * Records a chunk. Reports the time since the previous chunk to the detector, if both chunks
     * came on the same call.
     */
    void recordChunk(long nowMillis, SlowAgentDetector detector) {
        if (mCallCountAtLastChunk == mCallCount) {
            detector.recordChunkGap(mAgent.id(), nowMillis - mLastChunkMillis);
        }
        mCallCountAtLastChunk = mCallCount;
        mLastChunkMillis = nowMillis;
    }

    /** Returns the time of the last frame, or of the last call if no frame has come since. */
    long lastFrameMillis() {
        return mLastFrameMillis;
    }

    void recordFrame(long nowMillis) {
        mLastFrameMillis = nowMillis;
    }
}

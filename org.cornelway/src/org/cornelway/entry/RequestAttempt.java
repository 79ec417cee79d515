package org.cornelway.entry;

import java.util.Optional;
import org.cornelway.exchange.AnswerAssembler;
import org.cornelway.platform.Member;
import org.cornelway.routing.SlowAgentDetector;

/** One try of a request at one agent. Confined to the exchange's worker. */
final class RequestAttempt {
    private final String mId;
    private final Member mAgent;
    private final Optional<String> mIncarnation;
    private final AnswerAssembler mAssembler;
    private int mCalls;
    private long mHeardMillis;
    private int mChunkCall;
    private long mChunkMillis;

    /**
     * @param incarnation the agent's incarnation known before the request was sent
     */
    RequestAttempt(String id, Member agent, Optional<String> incarnation, long nowMillis) {
        mId = id;
        mAgent = agent;
        mIncarnation = incarnation;
        mAssembler = new AnswerAssembler(id);
        mHeardMillis = nowMillis;
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

    AnswerAssembler assembler() {
        return mAssembler;
    }

    int callCount() {
        return mCalls;
    }

    void recordCall(long nowMillis) {
        mCalls++;
        mHeardMillis = nowMillis;
    }

    /** Notes a chunk, and the time since the one before if it came on the same call. */
    void recordChunk(long nowMillis, SlowAgentDetector progress) {
        if (mChunkCall == mCalls) {
            progress.recordChunkGap(mAgent.id(), nowMillis - mChunkMillis);
        }
        mChunkCall = mCalls;
        mChunkMillis = nowMillis;
    }

    long lastFrameMillis() {
        return mHeardMillis;
    }

    void recordFrame(long nowMillis) {
        mHeardMillis = nowMillis;
    }
}

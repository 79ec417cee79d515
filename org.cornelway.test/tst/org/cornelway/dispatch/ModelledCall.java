package org.cornelway.dispatch;

import java.util.function.LongConsumer;

/** A call in virtual time; a stream reads its prompt and then sends one event for each token. */
final class ModelledCall {
    final ModelledLoad.Kind mKind;
    final int mEntry;
    final long mArrivedMillis;
    final int mPriority;
    final int mPromptTokens;
    final int mOutputTokens;
    final long mSentMillis;
    final boolean mIsHedge;
    int mServer;

    /** Hash of the shared parts of the prompt; 0 if there are none. */
    int mAffinity;

    /** The other send of the call; null if there is none. */
    ModelledCall mTwin;

    private double mPhaseMillis;
    private int mSentTokens;
    private long mLastEventMillis;
    private long mFirstEventMillis = -1;
    private long mLongestGapMillis;
    private LongConsumer mOnEvent = gap -> {};

    /**
     * @param workMillis time of a plain call on a server that is not slow
     */
    ModelledCall(
            ModelledLoad.Kind kind,
            int entry,
            long arrivedMillis,
            double workMillis,
            int promptTokens,
            int outputTokens) {
        this(kind, entry, arrivedMillis, arrivedMillis, workMillis, promptTokens, outputTokens);
    }

    private ModelledCall(
            ModelledLoad.Kind kind,
            int entry,
            long arrivedMillis,
            long sentMillis,
            double workMillis,
            int promptTokens,
            int outputTokens) {
        mKind = kind;
        mEntry = entry;
        mArrivedMillis = arrivedMillis;
        mSentMillis = sentMillis;
        mIsHedge = sentMillis > arrivedMillis;
        mPriority = kind.priority();
        mPromptTokens = promptTokens;
        mOutputTokens = outputTokens;
        mPhaseMillis =
                kind.isStream() ? promptTokens * ModelledLoad.MILLIS_PER_PROMPT_TOKEN : workMillis;
    }

    /** Returns a second send of this call. */
    ModelledCall newHedge(long sentMillis, double workMillis) {
        ModelledCall hedge =
                new ModelledCall(mKind, mEntry, mArrivedMillis, sentMillis, workMillis, 0, 0);
        hedge.mTwin = this;
        mTwin = hedge;
        return hedge;
    }

    /** Sets what is called with the time since the event before, or -1, at each event. */
    void onEvent(LongConsumer onEvent) {
        mOnEvent = onEvent;
    }

    /** Skips the shared half of the prompt. */
    void useCachedPrompt() {
        mPhaseMillis /= 2;
    }

    int tokensHeld() {
        return mKind.isStream() ? mPromptTokens + mSentTokens : 0;
    }

    int tokensInAll() {
        return mKind.isStream() ? mPromptTokens + mOutputTokens : 0;
    }

    void preempt() {
        mPhaseMillis = tokensHeld() * ModelledLoad.MILLIS_PER_PROMPT_TOKEN;
    }

    /** Does some work; returns whether the call has ended. */
    boolean advance(double millis, long now) {
        mPhaseMillis -= millis;
        if (mPhaseMillis > 0) {
            return false;
        }
        if (mFirstEventMillis < 0) {
            mFirstEventMillis = now;
        } else {
            mLongestGapMillis = Math.max(mLongestGapMillis, now - mLastEventMillis);
        }
        mOnEvent.accept(mFirstEventMillis == now ? -1 : now - mLastEventMillis);
        mLastEventMillis = now;
        mPhaseMillis += ModelledLoad.MILLIS_PER_TOKEN;
        mSentTokens++;
        return !mKind.isStream() || mSentTokens >= mOutputTokens;
    }

    /** Whether the first event, or the answer, was in time and no pause was too long. */
    boolean isInTime() {
        return mFirstEventMillis >= 0
                && mFirstEventMillis - mArrivedMillis <= mKind.objectiveMillis()
                && mLongestGapMillis <= ModelledLoad.MAX_GAP_MILLIS;
    }
}

package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.overload.SentCalls;

/**
 * Records what one attempt shows about its server: its load, its failures, and whether it holds the
 * model of the call. Confined to the traffic thread; lives as long as its attempt.
 */
final class ServerObserver {
    /** A server that sent something in this fraction of a call's silence works on other calls. */
    private static final double ACTIVE_FRACTION = 0.5;

    private final TrafficContext mContext;
    private final ServerRecord mServer;
    private final Optional<ModelTarget> mTarget;
    private Optional<ModelUsage.RunningCall> mRunningCall = Optional.empty();
    private Optional<CallOverload> mOverload = Optional.empty();
    private Optional<SentCalls.SentCall> mSent = Optional.empty();
    private boolean mStreaming;

    ServerObserver(TrafficContext context, ServerRecord server, Optional<ModelTarget> target) {
        mContext = context;
        mServer = server;
        mTarget = target;
    }

    private ServerLoads loads() {
        return mContext.loads();
    }

    private ServerIncarnation incarnation() {
        return mServer.incarnation();
    }

    /**
     * Records that the attempt starts.
     *
     * @param expectedTokens size of the call, in tokens, if it is known
     * @param overload decided that the call is sent
     */
    void recordStart(Optional<Long> expectedTokens, CallOverload overload) {
        mOverload = Optional.of(overload);
        mSent = overload.recordSent();
        loads().recordCallStarted(incarnation());
        mRunningCall =
                mTarget.map(
                        target ->
                                mContext.usage().callStarted(mServer.id(), target, expectedTokens));
    }

    /** Records that the server has begun to stream its answer. */
    void recordStreaming() {
        mStreaming = true;
        recordBegun();
        loads().changeStreamCount(incarnation(), 1);
    }

    /** Records that the server sent a part of its answer. */
    void recordActivity() {
        loads().recordActivity(incarnation());
    }

    private void recordBegun() {
        mSent.ifPresent(sent -> mOverload.orElseThrow().onBegun(sent));
    }

    /** Records the load that the server reports. */
    void recordReportedLoad(ReportedLoad load) {
        loads().recordReportedLoad(incarnation(), load);
    }

    /** Records whether the server answered successfully. */
    void recordResponse(boolean success) {
        if (success) {
            recordBegun();
        }
        loads().recordResponse(incarnation(), success);
    }

    /**
     * Records a complete stream.
     *
     * @param millis time from the first to the last event; empty if there was no event
     */
    void recordStream(Optional<Long> millis) {
        recordResponse(true);
        millis.ifPresent(loads()::recordStream);
        mRunningCall.ifPresent(mContext.usage()::callCompleted);
    }

    /** Records that the server could not be reached, or sent no answer or a broken one. */
    void recordFailure() {
        loads().recordFailure(incarnation());
    }

    /** Whether the server has failed recently. */
    boolean hasRecentFailure() {
        return loads().hasRecentFailure(incarnation());
    }

    /**
     * Whether the server works on other calls although it is silent for this one.
     *
     * @param silentMillis time for which it has sent nothing for this call
     */
    boolean isActive(long silentMillis) {
        return loads().silentMillis(incarnation()) < silentMillis * ACTIVE_FRACTION;
    }

    /**
     * Treats the server as not holding the model, if the call is for one, until the controller or
     * the server itself reports the model again.
     *
     * @return whether the call is for a model
     */
    boolean recordNotHeld() {
        mTarget.ifPresent(target -> mContext.holdings().remove(incarnation(), target));
        return mTarget.isPresent();
    }

    /** Records that the attempt has ended; called once. */
    void recordEnd() {
        loads().recordCallEnded(incarnation());
        mSent.ifPresent(sent -> mOverload.orElseThrow().onEnded(sent));
        if (mStreaming) {
            loads().changeStreamCount(incarnation(), -1);
        }
        mRunningCall.ifPresent(mContext.usage()::callEnded);
    }
}

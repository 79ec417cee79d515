package org.cornelway.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.overload.SentCalls;
import org.cornelway.route.Route;

/**
 * Records what one attempt shows about its server: its load, its failures, and whether it holds the
 * model of the call. Confined to the traffic thread; lives as long as its attempt.
 */
final class ServerObserver {
    /** A server that sent something in this fraction of a call's silence works on other calls. */
    private static final double ACTIVE_FRACTION = 0.5;

    private final TrafficContext mContext;
    private final ServerRecord mServer;
    private final RequestHead mHead;
    private final Optional<ModelTarget> mTarget;
    private Optional<ModelUsage.RunningCall> mRunningCall = Optional.empty();
    private Optional<CallOverload> mOverload = Optional.empty();
    private Optional<SentCalls.SentCall> mSent = Optional.empty();
    private boolean mStreaming;

    /** Tokens that the call holds in the server's memory; 0 for a plain service. */
    private long mTokens;

    ServerObserver(TrafficContext context, ServerRecord server, RequestHead head) {
        mContext = context;
        mServer = server;
        mHead = head;
        mTarget = head.target();
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
     * @param overload decided that the call is sent
     */
    void recordStart(CallOverload overload) {
        mOverload = Optional.of(overload);
        mSent = overload.recordSent();
        mTokens = loads().tokensOf(mHead);
        loads().recordCallStarted(incarnation(), mTokens);
        mRunningCall =
                mTarget.map(
                        target ->
                                mContext.usage()
                                        .callStarted(mServer.id(), target, mHead.expectedTokens()));
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
        loads().recordReportedLoad(mServer, load);
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

    /**
     * Records events of a stream.
     *
     * @param sinceEventMillis time since the event before; empty if these are the first ones
     * @param sinceSendMillis time since the call was sent
     */
    void recordEvents(
            Route route, int events, OptionalLong sinceEventMillis, long sinceSendMillis) {
        recordActivity();
        if (sinceEventMillis.isEmpty()) {
            loads().serviceTimes().record(route.name(), sinceSendMillis);
        } else if (mTarget.isPresent()) {
            String model = mTarget.get().model();
            loads().recordEvents(mServer, model, sinceEventMillis.getAsLong(), events);
        }
    }

    /** Records the time from the send of a plain call to its answer. */
    void recordServiceTime(Route route, long millis) {
        if (mTarget.isEmpty()) {
            loads().recordServiceTime(mServer, route.name(), millis);
        }
    }

    /** Records that the server has not answered a call in this time. */
    void recordUnanswered(Route route, long millis) {
        if (mTarget.isEmpty()) {
            loads().recordAtLeast(mServer, route.name(), millis);
        }
    }

    /** Whether the server is slow against its peers. */
    boolean isSlow() {
        return loads().slow().isSlow(incarnation());
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
        loads().recordCallEnded(incarnation(), mTokens);
        mSent.ifPresent(sent -> mOverload.orElseThrow().onEnded(sent));
        if (mStreaming) {
            loads().changeStreamCount(incarnation(), -1);
        }
        mRunningCall.ifPresent(mContext.usage()::callEnded);
    }
}

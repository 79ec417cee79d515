package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.route.CallKind;

/**
 * One attempt to send a call to a backend server.
 *
 * <p>An attempt ends exactly once: with a complete response, with proof that the call did not run,
 * or with an unknown outcome. Confined to the traffic thread.
 */
final class Attempt implements ResponseListener, UpstreamPool.AcquireListener {
    private final TrafficContext mContext;
    private final CallHandler mCallHandler;
    private final CallerRequest mRequest;
    private final ServerRecord mServer;
    private final SendHistory mHistory;
    private final AnswerProgress mProgress;
    private final PromptEvidence mEvidence;
    private final ResponseBuffer mBuffer;
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<ResponseHead> mHead = Optional.empty();
    private HttpResponseStatus mStatus = HttpResponseStatus.OK;
    private HttpHeaders mHeaders;
    private boolean mStreaming;
    private boolean mEnded;

    /** When the call was sent, in milliseconds since the epoch; 0 before. */
    private long mSentMillis;

    private Optional<ModelUsage.RunningCall> mRunningCall = Optional.empty();

    Attempt(
            TrafficContext context,
            CallHandler callHandler,
            CallerRequest request,
            ServerRecord server,
            SendHistory history) {
        mContext = context;
        mCallHandler = callHandler;
        mRequest = request;
        mServer = server;
        mHistory = history;
        mProgress = new AnswerProgress(context.clock());
        mEvidence = new PromptEvidence(context, request, server);
        Runnable onRevoked = () -> failWithUnknownOutcome("the answer held the most memory");
        mBuffer = new ResponseBuffer(context.pool().memory().newShare(onRevoked));
    }

    ServerRecord server() {
        return mServer;
    }

    /** Whether the call was handed to a connection and no response proves that it did not run. */
    boolean mayHaveRun() {
        return mConnection.isPresent() && !mHead.map(ResponseHead::provesNotRun).orElse(false);
    }

    /** Acquires a connection to the server; the call is sent once there is one. */
    void start() {
        mContext.loads().recordCallStarted(mServer.incarnation());
        mRunningCall =
                mRequest.head()
                        .target()
                        .map(
                                target ->
                                        mContext.usage()
                                                .callStarted(
                                                        mServer.id(),
                                                        target,
                                                        mRequest.head().expectedTokens()));
        mContext.pool().acquire(mServer.host(), mServer.port(), this);
    }

    @Override
    public boolean accepts(UpstreamConnection connection) {
        return !mHistory.wasSentOn(connection);
    }

    /**
     * Sends the call. If the traffic thread is late, reads the caller's connection once more
     * before, since the caller may have left while the connection to the server was opened.
     */
    @Override
    public void onAcquired(UpstreamConnection connection) {
        if (mContext.loopDelay().isLate()) {
            mContext.afterNextRead(() -> sendIfOpen(connection));
        } else {
            send(connection);
        }
    }

    /** Sends the call, on another connection if this one was closed in the meantime. */
    private void sendIfOpen(UpstreamConnection connection) {
        if (mEnded || connection.isReusable()) {
            send(connection);
        } else {
            connection.close();
            mContext.pool().acquire(mServer.host(), mServer.port(), this);
        }
    }

    private void send(UpstreamConnection connection) {
        Optional<String> reason = reasonNotToSend();
        if (mEnded || reason.isPresent()) {
            endUnsent(connection, reason.orElse(""));
            return;
        }
        UpstreamRequest request;
        try {
            request = buildUpstreamRequest();
        } catch (IllegalArgumentException e) {
            mContext.loads().recordFailure(mServer.incarnation());
            endUnsent(connection, "the request cannot be written: " + e.getMessage());
            return;
        }
        mConnection = Optional.of(connection);
        mProgress.record();
        mSentMillis = nowMillis();
        mHistory.recordConnection(connection);
        connection.send(request, this);
        mCallHandler.log().recordConnection(connection);
    }

    private void endUnsent(UpstreamConnection connection, String reason) {
        mContext.pool().release(connection);
        if (markEnded()) {
            mCallHandler.onNotSent(this, reason);
        }
    }

    private Optional<String> reasonNotToSend() {
        if (!mContext.takesCalls(mServer.incarnation())) {
            return Optional.of("the server left or paused before the send");
        }
        return mCallHandler.deadline().isPast(nowMillis())
                ? Optional.of("the deadline passed before the send")
                : Optional.empty();
    }

    private UpstreamRequest buildUpstreamRequest() {
        Optional<String> lastEventId = mCallHandler.relay().flatMap(StreamRelay::resumeAfter);
        Optional<Integer> priority =
                mRequest.head().target().map(target -> EnginePriority.of(mCallHandler.route()));
        long remainingMillis = mCallHandler.deadline().remainingMillis(nowMillis());
        return UpstreamRequest.forward(
                mRequest,
                new ForwardedHeaders(mServer.id(), remainingMillis, priority, lastEventId),
                mContext.codec());
    }

    @Override
    public void onConnectFailed(String reason) {
        mContext.loads().recordFailure(mServer.incarnation());
        recordNotHeld();
        if (markEnded()) {
            mCallHandler.onNotSent(this, "not connected: " + reason);
        }
    }

    @Override
    public Optional<NoticeReader> noticeReader() {
        return Optional.of(new NoticeReader(mContext, mServer, mRequest.head().requestId()));
    }

    @Override
    public void onHead(HttpResponse response) {
        ResponseHead head = mContext.codec().readResponseHead(response);
        mHead = Optional.of(head);
        mStatus = response.status();
        mHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        mContext.codec().writeResponseHeaders(response, mHeaders);
        mCallHandler.log().recordHead(mServer.id(), head.status());
        recordProgress();
        head.load()
                .ifPresent(
                        load -> mContext.loads().recordReportedLoad(mServer.incarnation(), load));
        if (head.isSuccess() && (!head.signed() || head.contentEncoded())) {
            failWithUnknownOutcome("success without the server's mark, or encoded");
            return;
        }
        if (!mBuffer.recordHead(mHeaders)) {
            failWithUnknownOutcome("no memory for the head of the answer");
            return;
        }
        mStreaming =
                head.isSuccess()
                        && mCallHandler.route().kind() == CallKind.STREAM
                        && response.status().equals(HttpResponseStatus.OK);
        if (mStreaming) {
            mContext.loads().changeStreamCount(mServer.incarnation(), 1);
        }
    }

    private void recordProgress() {
        mProgress.record();
        mContext.loads().recordActivity(mServer.incarnation());
    }

    private long nowMillis() {
        return mContext.clock().nowMillis();
    }

    /** Records that the server ended the answer before it was complete, as in a crash. */
    private void recordBreak() {
        if (!mProgress.isPastBeginning()) {
            mEvidence.recordBreak(mSentMillis, mCallHandler.log());
        }
    }

    private void failWithUnknownOutcome(String reason) {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mCallHandler.relay().ifPresent(StreamRelay::discardPartialEvent);
        mContext.loads().recordResponse(mServer.incarnation(), false);
        if (markEnded()) {
            mCallHandler.onMayHaveRun(this, reason, Optional.empty());
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (mEnded) {
            return;
        }
        try {
            if (mStreaming) {
                feedRelay(content);
            } else {
                mBuffer.append(content);
                recordProgress();
            }
        } catch (BrokenAnswerException e) {
            failWithUnknownOutcome(e.getMessage());
        }
    }

    private void feedRelay(ByteBuf content) throws BrokenAnswerException {
        StreamRelay relay = mCallHandler.relay().orElseThrow();
        int events = relay.feed(mStatus, mHeaders, content);
        if (events > 0) {
            recordProgress();
            if (mProgress.recordEvents(events)) {
                mEvidence.recordAnswered();
            }
        }
        mBuffer.recordEventBuffer(relay.bufferBytes());
    }

    @Override
    public void onEnd() {
        if (!markEnded()) {
            return;
        }
        ResponseHead head = mHead.orElseThrow();
        if (head.provesNotRun()) {
            handleRefusal(head);
        } else if (head.notRun() || head.promisesNotRun()) {
            handleUnprovenRefusal(head);
        } else if (mStreaming) {
            handleStreamEnd();
        } else {
            handleFullResponse(head);
        }
    }

    /** The caller is not told that the call has not run, since it may have. */
    private void handleUnprovenRefusal(ResponseHead head) {
        mContext.loads().recordResponse(mServer.incarnation(), false);
        String reason = "refused with " + head.status() + " without proof";
        mCallHandler.onMayHaveRun(this, reason, Optional.empty());
    }

    private void handleRefusal(ResponseHead head) {
        boolean answeredByOtherServer =
                head.misdirected()
                        && head.serverId().map(id -> !id.equals(mServer.id())).orElse(false);
        if (answeredByOtherServer) {
            mContext.loads().recordFailure(mServer.incarnation());
        } else if (head.misdirected() || mCallHandler.recordRefusal(mServer.incarnation())) {
            // A server that refuses the same call twice may be unloading the model.
            recordNotHeld();
        }
        mCallHandler.onRefused(this, "refused with " + head.status(), !head.misdirected());
    }

    /**
     * Treats this server as not holding the model, if the call is for one, until the controller or
     * the server itself reports the model again.
     */
    private void recordNotHeld() {
        Optional<ModelTarget> target = mRequest.head().target();
        if (target.isPresent()) {
            mContext.holdings().remove(mServer.incarnation(), target.get());
            mCallHandler.onNotHeld(mServer.incarnation());
        }
    }

    private void handleStreamEnd() {
        StreamRelay relay = mCallHandler.relay().orElseThrow();
        if (relay.hasPartialEvent()) {
            mContext.loads().recordResponse(mServer.incarnation(), false);
            recordBreak();
            mCallHandler.onMayHaveRun(this, "ended within an event", Optional.empty());
        } else {
            mContext.loads().recordResponse(mServer.incarnation(), true);
            mProgress.streamingMillis().ifPresent(mContext.loads()::recordStream);
            if (mProgress.streamingMillis().isPresent()) {
                mEvidence.recordAnswered();
            }
            mRunningCall.ifPresent(mContext.usage()::callCompleted);
            relay.ensureHeadSent(mStatus, mHeaders);
            mCallHandler.onStreamEnd();
        }
    }

    private void handleFullResponse(ResponseHead head) {
        boolean isServerError = head.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        mContext.loads().recordResponse(mServer.incarnation(), !isServerError);
        FullResponse fullResponse = new FullResponse(mStatus, mHeaders, mBuffer.body());
        if (mCallHandler.isStreamBegun()) {
            // The caller has the head and events of another answer.
            String reason = "answered with " + head.status() + " within a stream";
            mCallHandler.onMayHaveRun(this, reason, Optional.empty());
        } else if (isServerError) {
            mCallHandler.onMayHaveRun(
                    this, "failed with " + head.status(), Optional.of(fullResponse));
        } else {
            mCallHandler.onFullResponse(fullResponse);
        }
    }

    @Override
    public void onFailed(boolean sent, String reason) {
        mContext.loads().recordFailure(mServer.incarnation());
        if (!markEnded()) {
            return;
        }
        if (sent) {
            recordBreak();
            mCallHandler.onMayHaveRun(this, reason, Optional.empty());
        } else {
            mCallHandler.onNotSent(this, reason);
        }
    }

    /**
     * Checks whether the server has gone silent; called periodically.
     *
     * <p>If it has, the call is sent to another server, but only if one can take it at once.
     * Otherwise the attempt continues: silence alone never ends a response.
     */
    void tick() {
        if (mEnded || mConnection.isEmpty()) {
            return;
        }
        boolean hasRecentFailure = mContext.loads().hasRecentFailure(mServer.incarnation());
        boolean begun = mCallHandler.isStreamBegun();
        if (mProgress.isStalled(mCallHandler.route(), begun, hasRecentFailure)
                && mCallHandler.moveFromSilent(
                        this, "silent for " + mProgress.silentMillis() + " ms")) {
            mContext.loads().recordFailure(mServer.incarnation());
        }
    }

    void setReadingPaused(boolean paused) {
        mConnection.ifPresent(connection -> connection.setReadingPaused(paused));
    }

    /** Ends the attempt without notifying the call handler. */
    void cancel() {
        if (markEnded()) {
            mConnection.ifPresent(UpstreamConnection::cancel);
        }
    }

    /**
     * Ends the attempt and updates the server's counters.
     *
     * @return false if the attempt had already ended
     */
    private boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mBuffer.release();
        mContext.loads().recordCallEnded(mServer.incarnation());
        if (mStreaming) {
            mContext.loads().changeStreamCount(mServer.incarnation(), -1);
        }
        mRunningCall.ifPresent(mContext.usage()::callEnded);
        return true;
    }
}

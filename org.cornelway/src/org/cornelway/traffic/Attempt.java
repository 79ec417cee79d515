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
    private final ServerObserver mObserver;
    private final AttemptSilence mSilence;
    private final SendGate mGate;
    private final ResponseBuffer mBuffer;
    private final GuardedAttempt mGuarded;

    /** The events of the answer; empty if the call is not for a stream. */
    private final Optional<StreamRelay.Answer> mAnswer;

    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<ResponseHead> mHead = Optional.empty();
    private HttpResponseStatus mStatus = HttpResponseStatus.OK;
    private HttpHeaders mHeaders;
    private boolean mStreaming;
    private boolean mEndsWithClose;
    private boolean mEnded;

    /** When the call was sent, in milliseconds since the epoch; 0 before. */
    private long mSentMillis;

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
        mObserver = new ServerObserver(context, server, request.head());
        mSilence = new AttemptSilence(context, this, callHandler, mProgress, mObserver);
        mGate = new SendGate(context, callHandler, server.incarnation());
        Runnable onRevoked = () -> failWithUnknownOutcome("the answer held the most memory");
        mBuffer = new ResponseBuffer(context.pool().memory().newShare(onRevoked));
        mGuarded = new GuardedAttempt(this, callHandler);
        mAnswer = callHandler.relay().map(r -> callHandler.attempts().newAnswer(r, this));
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
        mGate.reserve();
        mObserver.recordStart(mCallHandler.overload());
        mContext.pool().acquire(mServer.host(), mServer.port(), mGuarded);
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
            mCallHandler
                    .guard()
                    .afterNextRead(() -> mGuarded.use(connection, () -> sendIfOpen(connection)));
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
            mContext.pool().acquire(mServer.host(), mServer.port(), mGuarded);
        }
    }

    private void send(UpstreamConnection connection) {
        Optional<String> reason = mEnded ? Optional.of("") : mGate.reasonNotToSend();
        if (reason.isPresent()) {
            endUnsent(connection, reason.get());
            return;
        }
        UpstreamRequest request;
        try {
            request =
                    UpstreamRequest.forward(
                            mRequest,
                            mCallHandler.forwardedHeaders(mServer.id()),
                            mContext.codec());
        } catch (IllegalArgumentException e) {
            mObserver.recordFailure();
            endUnsent(connection, "the request cannot be written: " + e.getMessage());
            return;
        }
        mConnection = Optional.of(connection);
        mProgress.record();
        mSentMillis = nowMillis();
        mHistory.recordConnection(connection);
        connection.send(request, mGuarded);
        if (mProgress.isReadingPaused()) {
            connection.setReadingPaused(true);
        }
        mCallHandler.log().recordConnection(connection);
    }

    private void endUnsent(UpstreamConnection connection, String reason) {
        mContext.pool().release(connection);
        if (markEnded()) {
            mCallHandler.onNotSent(this, reason);
        }
    }

    @Override
    public void onConnectFailed(String reason) {
        mObserver.recordFailure();
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
        mEndsWithClose = ResponseValidator.endsWithClose(mRequest.message().method(), response);
        mHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        mContext.codec().writeResponseHeaders(response, mHeaders);
        mCallHandler.log().recordHead(mServer.id(), head.status());
        // A paused server refuses other calls, so that a head does not show that it works.
        mProgress.record();
        head.load().ifPresent(mObserver::recordReportedLoad);
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
            mObserver.recordStreaming();
        }
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
        mObserver.recordResponse(false);
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
                mProgress.record();
                mHead.filter(ResponseHead::isSuccess).ifPresent(h -> mObserver.recordActivity());
            }
        } catch (BrokenAnswerException e) {
            failWithUnknownOutcome(e.getMessage());
        }
    }

    private void feedRelay(ByteBuf content) throws BrokenAnswerException {
        StreamRelay.Answer answer = mAnswer.orElseThrow();
        int events = answer.feed(mStatus, mHeaders, content);
        if (events > 0) {
            mObserver.recordEvents(
                    mCallHandler.route(),
                    events,
                    mProgress.sinceEventMillis(),
                    nowMillis() - mSentMillis);
            if (mProgress.recordEvents(events)) {
                mEvidence.recordAnswered();
            }
        }
        mBuffer.recordEventBuffer(answer.bufferBytes());
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
        mObserver.recordResponse(false);
        String reason = "refused with " + head.status() + " without proof";
        mCallHandler.onMayHaveRun(this, reason, Optional.empty());
    }

    private void handleRefusal(ResponseHead head) {
        boolean answeredByOtherServer =
                head.misdirected()
                        && head.serverId().map(id -> !id.equals(mServer.id())).orElse(false);
        if (answeredByOtherServer) {
            mObserver.recordFailure();
        } else if (head.misdirected() || mHistory.recordRefusal(mServer.incarnation())) {
            // A server that refuses the same call twice may be unloading the model.
            recordNotHeld();
        }
        mCallHandler.onRefused(this, "refused with " + head.status(), !head.misdirected());
    }

    private void recordNotHeld() {
        if (mObserver.recordNotHeld()) {
            mCallHandler.onNotHeld(mServer.incarnation());
        }
    }

    private void handleStreamEnd() {
        Optional<String> broken = mAnswer.orElseThrow().reasonIfBroken(mEndsWithClose);
        if (broken.isPresent()) {
            mObserver.recordResponse(false);
            recordBreak();
            mCallHandler.onMayHaveRun(this, broken.get(), Optional.empty());
        } else {
            mObserver.recordStream(mProgress.streamingMillis());
            if (mProgress.streamingMillis().isPresent()) {
                mEvidence.recordAnswered();
            }
            mCallHandler.onStreamEnd(this, mStatus, mHeaders);
        }
    }

    private void handleFullResponse(ResponseHead head) {
        boolean isServerError = head.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        mObserver.recordResponse(!isServerError);
        if (head.isSuccess()) {
            mObserver.recordServiceTime(mCallHandler.route(), nowMillis() - mSentMillis);
        }
        FullResponse fullResponse = new FullResponse(mStatus, mHeaders, mBuffer.body());
        if (mCallHandler.isStreamBegun()) {
            // The caller has the head and events of another answer.
            String reason = "answered with " + head.status() + " within a stream";
            mCallHandler.onMayHaveRun(this, reason, Optional.empty());
        } else if (isServerError) {
            mCallHandler.onMayHaveRun(
                    this, "failed with " + head.status(), Optional.of(fullResponse));
        } else {
            mCallHandler.onFullResponse(this, fullResponse);
        }
    }

    @Override
    public void onFailed(boolean sent, String reason) {
        mObserver.recordFailure();
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

    /** Whether the call was sent and the attempt has not ended. */
    boolean isSent() {
        return !mEnded && mConnection.isPresent();
    }

    AttemptSilence silence() {
        return mSilence;
    }

    /** Time since the call was handed to a connection; empty before. */
    Optional<Long> sinceSendMillis() {
        return mConnection.map(connection -> nowMillis() - mSentMillis);
    }

    /** Pauses or resumes reading; effective from the send on if the call is not sent yet. */
    void setReadingPaused(boolean paused) {
        mProgress.setReadingPaused(paused);
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
        mGate.release();
        mObserver.recordEnd();
        return true;
    }
}

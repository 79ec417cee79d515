package org.cornelway.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * A connection to a backend server or to the platform; it carries one request at a time.
 *
 * <p>Invariants: a response that belongs to another request is read to its end and discarded, and
 * the connection is not used for further requests; bytes that arrive while no request is
 * outstanding, even a part of a head, are discarded and the connection is closed. A connection is
 * returned to the pool only after the read that brought the end of its response, so that bytes
 * behind it are seen before. Confined to the traffic thread; lives from the connect to the close.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * Idle time after which a connection is not reused if the server states no keep-alive time,
     * since the server may have closed it.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    /**
     * Fraction of the server's stated keep-alive time for which an idle connection is reused, so
     * that a request never races with the close by the server.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.6;

    private final CallCodec mCodec;
    private final StrictResponseDecoder mDecoder;
    private final UpstreamPool mPool;

    /** Address as host:port, by which the pool finds the connection. */
    private final String mAddress;

    /** Number of the connection, unique within its pool; for the log. */
    private final long mNumber;

    private final Clock mClock;
    private final EventLog mLog;
    private Channel mChannel;
    private Optional<ResponseListener> mListener = Optional.empty();

    /** Reader of the last request's listener, also after its response has ended. */
    private Optional<NoticeReader> mNoticeReader = Optional.empty();

    private Optional<String> mRequestId = Optional.empty();
    private long mRequestCount;
    private boolean mRequestWritten;
    private boolean mHeadReceived;

    /**
     * Whether the rest of the current response is discarded, because the response is interim or
     * belongs to another request.
     */
    private boolean mDiscarding;

    private boolean mMustClose;

    /** Whether a response stated no id; a late copy of it could not be told from another one. */
    private boolean mResponseWithoutIdReceived;

    /** Whether the response is complete, and the connection not back in the pool yet. */
    private boolean mReleasePending;

    /** Time after the end of the current response for which the connection may be reused. */
    private long mKeepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;

    /**
     * Whether reading was paused since the last request was sent. If so, the response may have been
     * sent long before its end was read, and the keep-alive time runs from its head.
     */
    private boolean mReadingWasPaused;

    private Deadline mReusableUntil;

    /** When the last request was sent or its response ended, in milliseconds since the epoch. */
    private long mLastUseMillis;

    UpstreamConnection(
            CallCodec codec,
            StrictResponseDecoder decoder,
            UpstreamPool pool,
            String address,
            long number,
            Clock clock,
            EventLog log) {
        mCodec = codec;
        mDecoder = decoder;
        mPool = pool;
        mAddress = address;
        mNumber = number;
        mClock = clock;
        mLog = log;
        mReusableUntil = Deadline.after(clock.nowMillis(), DEFAULT_KEEP_ALIVE_MILLIS);
    }

    String address() {
        return mAddress;
    }

    /** Name of the connection and number of its last request, for the log, such as 12.3. */
    String label() {
        return mNumber + "." + mRequestCount;
    }

    /** Whether a request can be sent now without racing with the server's close. */
    boolean isReusable() {
        return !mMustClose
                && mChannel.isActive()
                && !mDecoder.hasUnexpectedBytes()
                && !mReusableUntil.isPast(mClock.nowMillis());
    }

    /**
     * Whether all responses so far have stated the ids of their requests, so that a late copy of
     * one is not taken for the response to a later request that states an id.
     */
    boolean identifiesResponses() {
        return !mResponseWithoutIdReceived;
    }

    /** Sends a request; the connection must be reusable and idle. */
    void send(UpstreamRequest request, ResponseListener listener) {
        mRequestCount++;
        mLastUseMillis = mClock.nowMillis();
        mListener = Optional.of(listener);
        mNoticeReader = listener.noticeReader();
        mRequestId = request.requestId();
        mRequestWritten = false;
        mHeadReceived = false;
        mReadingWasPaused = false;
        boolean bodyless = request.method().equals(HttpMethod.HEAD);
        // A second response to HEAD would have the next response read as its body.
        mMustClose |= bodyless;
        mDecoder.expectResponse(bodyless);
        mChannel.writeAndFlush(request.message())
                .addListener(
                        future -> {
                            mRequestWritten = future.isSuccess();
                            if (!future.isSuccess()) {
                                fail("write failed: " + future.cause().getMessage());
                            }
                        });
    }

    /** Cancels the current request by closing the connection. The listener is not called again. */
    void cancel() {
        mListener = Optional.empty();
        close();
    }

    /** Pauses or resumes reading. While paused, flow control keeps the response at the server. */
    void setReadingPaused(boolean paused) {
        mReadingWasPaused |= paused;
        mChannel.config().setAutoRead(!paused);
    }

    /** Closes the connection. */
    void close() {
        mMustClose = true;
        mChannel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("malformed answer: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (mListener.isEmpty()) {
            // No request is outstanding, so these bytes belong to no request.
            if (message instanceof HttpResponse response) {
                ResponseHead head = mCodec.readResponseHead(response);
                mNoticeReader.ifPresent(reader -> reader.read(head));
                logUnexpected("a response while no request was outstanding", Optional.of(head));
                mMustClose = true;
            }
            close();
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content && mListener.isPresent()) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse response) {
        if (!ResponseValidator.hasDefinedStatus(response)) {
            // Such a status says nothing about the call, not even whether it has run.
            fail("malformed answer: status " + response.status().code());
            return;
        }
        if (ResponseValidator.containsStatusLine(response)) {
            fail("malformed answer: a status line within the head");
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            // No request asks for it, and the decoder would pass on no response after it.
            fail("malformed answer: a switch of protocols");
            return;
        }
        if (response.status().code() / 100 == 1) {
            // An interim response; its end is discarded, and the final response follows.
            mDiscarding = true;
            return;
        }
        ResponseHead head = mCodec.readResponseHead(response);
        mNoticeReader.ifPresent(reader -> reader.read(head));
        if (isMismatched(head)) {
            logUnexpected("a response to another request", Optional.of(head));
            mMustClose = true;
            mDiscarding = true;
            return;
        }
        mHeadReceived = true;
        mResponseWithoutIdReceived |= head.requestId().isEmpty();
        mMustClose |= head.closing() || head.notRun() || head.leaving();
        mKeepAliveMillis =
                head.keepAliveMillis()
                        .map(millis -> (long) (millis * KEEP_ALIVE_FRACTION))
                        .orElse(DEFAULT_KEEP_ALIVE_MILLIS);
        mReusableUntil = Deadline.after(mClock.nowMillis(), mKeepAliveMillis);
        mListener.get().onHead(response);
    }

    /**
     * Whether a response belongs to another request. A response with a backend server's signature
     * must state the id of its request; one without the signature may lack the id. A response with
     * an id cannot belong to a request without one.
     */
    private boolean isMismatched(ResponseHead head) {
        return mRequestId
                .map(id -> !head.requestId().map(id::equals).orElse(!head.signed()))
                .orElse(head.requestId().isPresent());
    }

    private void onContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (mDiscarding) {
            mDiscarding = !isLast;
            return;
        }
        if (content.content().isReadable()) {
            mListener.get().onContent(content.content());
        }
        if (isLast && mListener.isPresent()) {
            ResponseListener listener = mListener.get();
            mListener = Optional.empty();
            mLastUseMillis = mClock.nowMillis();
            if (!mReadingWasPaused) {
                mReusableUntil = Deadline.after(mLastUseMillis, mKeepAliveMillis);
            }
            mDecoder.endResponse();
            // A server that responds before it has read the whole request still expects the rest.
            mMustClose |= !mRequestWritten;
            mReleasePending = true;
            listener.onEnd();
        }
    }

    /** Logs bytes that do not belong to the response to the outstanding or last request. */
    private void logUnexpected(String what, Optional<ResponseHead> head) {
        mLog.write(
                "connection.unexpected",
                "id",
                mRequestId.orElse("-"),
                "address",
                mAddress,
                "connection",
                label(),
                "outstanding",
                mListener.isPresent(),
                "what",
                what,
                "response_id",
                head.flatMap(ResponseHead::requestId).orElse("-"),
                "status",
                head.map(ResponseHead::status).orElse(0),
                "since_use_ms",
                mClock.nowMillis() - mLastUseMillis);
    }

    /** Returns the connection to the pool if its response has ended and nothing came behind it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean isReleased = mReleasePending;
        mReleasePending = false;
        if (mListener.isPresent()) {
            return;
        }
        if (mDecoder.hasUnexpectedBytes() && !mMustClose) {
            logUnexpected("bytes while no request was outstanding", Optional.empty());
            close();
        } else if (mMustClose) {
            close();
        } else if (isReleased) {
            setReadingPaused(false);
            mPool.release(this);
        }
    }

    /** Closes the connection, and reports the failure if a request is outstanding. */
    private void fail(String reason) {
        mMustClose = true;
        Optional<ResponseListener> listener = mListener;
        mListener = Optional.empty();
        mChannel.close();
        listener.ifPresent(each -> each.onFailed(true, reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.onClosed(this);
        fail(mHeadReceived ? "closed within the answer" : "closed before the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }
}

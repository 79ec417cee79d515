package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelway.result.Result;
import org.cornelway.route.CallerLimits;
import org.cornelway.time.Deadline;

/**
 * A caller's connection.
 *
 * <p>Handles one request at a time, once the whole request has arrived. Messages that arrive before
 * its response is sent are queued; reading pauses while the queue is full. Confined to the traffic
 * thread; lives from the accept to the close.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements CallerResponse, ConnectionSweep.Connection {
    /** Messages that may be queued behind the current request before reading is paused. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    /** Time that a caller has to read the last response before the connection is closed. */
    private static final long LINGER_MILLIS = 400;

    /**
     * Timeout of a caller that does not state one. In effect the route's timeout applies, which is
     * shorter.
     */
    private static final long DEFAULT_TIMEOUT_MILLIS = 86_400_000;

    private final TrafficContext mContext;
    private final CallerResponseEncoder mEncoder;
    private final Consumer<CallerConnection> mOnClosed;
    private final ConnectionErrors mErrors = new ConnectionErrors();
    private final Deque<Object> mQueuedMessages = new ArrayDeque<>();
    private Channel mChannel;
    private Optional<HttpRequest> mIncomingRequest = Optional.empty();
    private ByteBuf mIncomingBody;
    private Optional<CallHandler> mCallHandler = Optional.empty();

    /**
     * When an idle connection is closed or an incomplete request is rejected. Extended when a
     * request begins, with each part of its body, and after each response; not checked while a call
     * is handled.
     */
    private Deadline mProgressDeadline;

    /** The last write of the last response; empty before the first response. */
    private Optional<ChannelFuture> mLastWrite = Optional.empty();

    private boolean mCloseAfterResponse;
    private boolean mInputIgnored;
    private boolean mIsHeadRequest;

    /**
     * @param encoder encoder of the responses on this connection
     * @param onClosed called after the connection has closed
     */
    CallerConnection(
            TrafficContext context,
            CallerResponseEncoder encoder,
            Consumer<CallerConnection> onClosed) {
        mContext = context;
        mEncoder = encoder;
        mOnClosed = onClosed;
        mProgressDeadline = idleDeadline();
    }

    private Deadline idleDeadline() {
        return deadlineAfter(mContext.view().get().limits().idleTimeoutMillis());
    }

    private Deadline deadlineAfter(long millis) {
        return Deadline.after(mContext.clock().nowMillis(), millis);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public boolean isBusy() {
        return mCallHandler.isPresent() || mIncomingRequest.isPresent();
    }

    /** Runs a step of the call in progress, if there is one. */
    private void withCall(Consumer<CallHandler> step) {
        mCallHandler.ifPresent(call -> call.guard().run(() -> step.accept(call)));
    }

    void onHoldingsChanged() {
        withCall(CallHandler::onHoldingsChanged);
    }

    /** Returns the call in progress; empty if there is none. */
    Optional<CallHandler> call() {
        return mCallHandler;
    }

    void onModelGranted(ModelTarget target) {
        withCall(handler -> handler.onModelGranted(target));
    }

    /** Refuses the current call, if any, unless it is being sent or may have run. */
    void refuseIfWaiting() {
        withCall(call -> call.ending().refuseIfWaiting());
    }

    /** Ends the current call or incomplete request, if any, because the process stops. */
    void abandon() {
        withCall(call -> call.ending().abandon());
        if (mIncomingRequest.isPresent()) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /**
     * Closes the connection unless a request is handled, the last response is being sent, or the
     * connection closes by itself.
     */
    void closeIfIdle() {
        boolean sent = mLastWrite.map(ChannelFuture::isDone).orElse(true);
        if (!isBusy() && sent && !mInputIgnored) {
            mChannel.close();
        }
    }

    /** Checks deadlines; called periodically by the {@link FrontServer}. */
    @Override
    public void tick() {
        withCall(CallHandler::tick);
        if (mCallHandler.isEmpty() && mProgressDeadline.isPast(mContext.clock().nowMillis())) {
            if (mIncomingRequest.isPresent()) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            } else {
                mChannel.close();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mInputIgnored) {
            ReferenceCountUtil.release(message);
        } else if (mCallHandler.isPresent()) {
            mQueuedMessages.add(message);
            if (mQueuedMessages.size() >= MAX_QUEUED_MESSAGES) {
                mChannel.config().setAutoRead(false);
            }
        } else {
            processMessage(message);
        }
    }

    private void processMessage(Object message) {
        if (message instanceof HttpRequest head) {
            beginRequest(head);
        }
        if (message instanceof HttpContent content) {
            appendBody(content);
        }
    }

    private void beginRequest(HttpRequest head) {
        CallerLimits limits = mContext.view().get().limits();
        mCloseAfterResponse = !HttpUtil.isKeepAlive(head);
        mIsHeadRequest = head.method().equals(HttpMethod.HEAD);
        mEncoder.setNextBodyless(mIsHeadRequest);
        Optional<HttpResponseStatus> errorStatus = RequestValidator.validate(head, limits);
        if (errorStatus.isPresent()) {
            reject(errorStatus.get());
            return;
        }
        mIncomingRequest = Optional.of(head);
        mIncomingBody = Unpooled.buffer();
        mProgressDeadline =
                deadlineAfter(Math.max(limits.headerTimeoutMillis(), limits.idleTimeoutMillis()));
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(HttpContent content) {
        if (mIncomingRequest.isEmpty()) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        CallerLimits limits = mContext.view().get().limits();
        if (mIncomingBody.readableBytes() + content.content().readableBytes()
                > limits.maxBodyBytes()) {
            content.release();
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        mProgressDeadline = deadlineAfter(limits.idleTimeoutMillis());
        // Copied, since a buffer for each of the smallest chunks takes many times their bytes.
        mIncomingBody.writeBytes(content.content());
        content.release();
        if (content instanceof LastHttpContent) {
            startCall();
        }
    }

    private void startCall() {
        HttpRequest message = mIncomingRequest.orElseThrow();
        Result<RequestHead> parsed = mContext.codec().readRequestHead(message);
        if (parsed.toOptional().isEmpty()) {
            mContext.log().write("call.malformed", "reason", parsed.failure().get().message());
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        mIncomingRequest = Optional.empty();
        RequestHead head = parsed.toOptional().get();
        // The request may have waited unread while the traffic thread was late.
        long arrived = mContext.clock().nowMillis() - mContext.loopDelay().millis();
        CallerRequest request =
                new CallerRequest(
                        message,
                        head,
                        mIncomingBody,
                        arrived,
                        Deadline.after(
                                arrived, head.timeoutMillis().orElse(DEFAULT_TIMEOUT_MILLIS)));
        mCallHandler = Optional.of(new CallHandler(mContext, request, this));
        if (mContext.drain().isAcceptingOver()) {
            withCall(call -> call.ending().abandon());
        } else {
            withCall(CallHandler::start);
        }
    }

    /**
     * Rejects a request that cannot be handled and closes the connection, since the end of the
     * request and the start of the next one cannot be determined.
     */
    private void reject(HttpResponseStatus status) {
        mCloseAfterResponse = true;
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        sendFull(status, headers, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (!mIsHeadRequest || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        setConnectionHeader(headers);
        onResponseWritten(
                mChannel.writeAndFlush(
                                new DefaultFullHttpResponse(
                                        HttpVersion.HTTP_1_1,
                                        status,
                                        body,
                                        headers,
                                        EmptyHttpHeaders.INSTANCE))
                        .addListener(mErrors));
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
                .addListener(mErrors);
    }

    private void setConnectionHeader(HttpHeaders headers) {
        // A request that was received already is answered on this connection.
        mCloseAfterResponse |= mContext.drain().isDraining() && mQueuedMessages.isEmpty();
        if (mCloseAfterResponse) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void sendPart(ByteBuf part) {
        mChannel.writeAndFlush(new DefaultHttpContent(part)).addListener(mErrors);
    }

    @Override
    public void end() {
        onResponseWritten(
                mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(mErrors));
    }

    @Override
    public void abort() {
        mInputIgnored = true;
        mChannel.close();
    }

    private void onResponseWritten(ChannelFuture lastWrite) {
        mLastWrite = Optional.of(lastWrite);
        mCallHandler = Optional.empty();
        mIncomingRequest = Optional.empty();
        releaseBody();
        mProgressDeadline = idleDeadline();
        if (mCloseAfterResponse) {
            mInputIgnored = true;
            lastWrite.addListener(sent -> closeAfterLinger());
            return;
        }
        while (!mQueuedMessages.isEmpty() && mCallHandler.isEmpty() && !mInputIgnored) {
            processMessage(mQueuedMessages.poll());
        }
        if (mQueuedMessages.size() < MAX_QUEUED_MESSAGES) {
            mChannel.config().setAutoRead(true);
        }
    }

    /**
     * Shuts down the output and closes the connection after a delay. A close with unread input
     * sends a reset, which can destroy the response before the caller has read it.
     */
    private void closeAfterLinger() {
        if (mChannel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        mContext.loop().schedule(() -> mChannel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void releaseBody() {
        if (mIncomingBody != null) {
            mIncomingBody.release();
            mIncomingBody = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        withCall(handler -> handler.setReadingPaused(!mChannel.isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mInputIgnored = true;
        mOnClosed.accept(this);
        withCall(call -> call.ending().onConnectionClosed(mErrors.reason()));
        mCallHandler = Optional.empty();
        mQueuedMessages.forEach(ReferenceCountUtil::release);
        mQueuedMessages.clear();
        releaseBody();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mContext.metrics().counter("callers.connection_errors").inc();
        if (mErrors.record(cause) && mCallHandler.isPresent()) {
            mCloseAfterResponse = true;
            withCall(call -> call.ending().onUnexpectedError(mErrors.reason().orElseThrow()));
        } else {
            mChannel.close();
        }
    }
}

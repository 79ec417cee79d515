package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cornelway.result.Result;
import org.cornelway.route.CallerLimits;
import org.cornelway.time.Deadline;

/**
 * One connection of a caller.
 *
 * <p>Takes one request at a time; what comes meanwhile waits here up to a bound. A request is
 * handled once it is whole. Confined to the traffic thread; lives from the accept to the close.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {
    /** Messages that may wait behind the request under way before the connection is not read. */
    private static final int MAX_WAITING = 64;

    /** Time that a caller has to take the last answer before the connection closes for good. */
    private static final long LINGER_MILLIS = 400;

    /** How long a caller waits that does not say; the route's timeout is shorter. */
    private static final long NO_LIMIT_MILLIS = 86_400_000;

    private final TrafficContext mContext;
    private final BooleanSupplier mDraining;
    private final BooleanSupplier mLeaving;
    private final Consumer<CallerConnection> mClosed;
    private final Deque<Object> mWaiting = new ArrayDeque<>();
    private Channel mChannel;
    private Optional<HttpRequest> mHead = Optional.empty();
    private CompositeByteBuf mBody;
    private Optional<Exchange> mExchange = Optional.empty();
    private Deadline mProgressBy;
    private boolean mCloseAfter;
    private boolean mFinished;
    private boolean mBodyless;

    CallerConnection(
            TrafficContext context,
            BooleanSupplier draining,
            BooleanSupplier leaving,
            Consumer<CallerConnection> closed) {
        mContext = context;
        mDraining = draining;
        mLeaving = leaving;
        mClosed = closed;
        mProgressBy = idleDeadline();
    }

    private Deadline idleDeadline() {
        return after(mContext.view().get().limits().idleTimeoutMillis());
    }

    private Deadline after(long millis) {
        return Deadline.after(mContext.clock().nowMillis(), millis);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    boolean isBusy() {
        return mExchange.isPresent() || mHead.isPresent();
    }

    void onHoldingsChanged() {
        mExchange.ifPresent(Exchange::onHoldingsChanged);
    }

    void onModelGranted(ModelTarget target) {
        mExchange.ifPresent(exchange -> exchange.onModelGranted(target));
    }

    void refuseWaiting() {
        mExchange.ifPresent(Exchange::refuseWaiting);
    }

    void abandon() {
        mExchange.ifPresent(Exchange::abandon);
    }

    void closeIfIdle() {
        if (!isBusy()) {
            mChannel.close();
        }
    }

    /** Called a few times a second. */
    void tick() {
        mExchange.ifPresent(Exchange::tick);
        if (mExchange.isEmpty() && mProgressBy.isPast(mContext.clock().nowMillis())) {
            if (mHead.isPresent()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT);
            } else {
                mChannel.close();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mFinished) {
            ReferenceCountUtil.release(message);
        } else if (mExchange.isPresent()) {
            mWaiting.add(message);
            if (mWaiting.size() >= MAX_WAITING) {
                mChannel.config().setAutoRead(false);
            }
        } else {
            accept(message);
        }
    }

    private void accept(Object message) {
        if (message instanceof HttpRequest head) {
            sendHead(head);
        }
        if (message instanceof HttpContent content) {
            append(content);
        }
    }

    private void sendHead(HttpRequest head) {
        CallerLimits limits = mContext.view().get().limits();
        mCloseAfter = !HttpUtil.isKeepAlive(head);
        mBodyless = head.method().equals(HttpMethod.HEAD);
        Optional<HttpResponseStatus> fault = RequestValidator.validate(head, limits);
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        mHead = Optional.of(head);
        mBody = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        mProgressBy = after(Math.max(limits.headerTimeoutMillis(), limits.idleTimeoutMillis()));
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(HttpContent content) {
        if (mHead.isEmpty()) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        CallerLimits limits = mContext.view().get().limits();
        if (mBody.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            content.release();
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        mProgressBy = after(limits.idleTimeoutMillis());
        mBody.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            handle();
        }
    }

    private void handle() {
        HttpRequest message = mHead.orElseThrow();
        Result<RequestHead> head = mContext.codec().readRequestHead(message);
        if (head.toOptional().isEmpty()) {
            mContext.log().write("call.malformed", "reason", head.failure().get().message());
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        mHead = Optional.empty();
        RequestHead call = head.toOptional().get();
        long now = mContext.clock().nowMillis();
        CallerRequest request =
                new CallerRequest(
                        message,
                        call,
                        mBody,
                        now,
                        Deadline.after(now, call.timeoutMillis().orElse(NO_LIMIT_MILLIS)));
        Exchange exchange = new Exchange(mContext, request, this);
        mExchange = Optional.of(exchange);
        if (mLeaving.getAsBoolean()) {
            exchange.abandon();
        } else {
            exchange.start();
        }
    }

    /** Answers what cannot be handled and closes, since what follows cannot be told apart. */
    private void refuse(HttpResponseStatus status) {
        mCloseAfter = true;
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        sendFull(status, headers, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (!mBodyless || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        markClosing(headers);
        mChannel.writeAndFlush(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
        finish();
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        markClosing(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    private void markClosing(HttpHeaders headers) {
        mCloseAfter |= mDraining.getAsBoolean();
        if (mCloseAfter) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void sendPart(ByteBuf part) {
        mChannel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void end() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finish();
    }

    @Override
    public void abort() {
        mFinished = true;
        mChannel.close();
    }

    private void finish() {
        mExchange = Optional.empty();
        mHead = Optional.empty();
        releaseBody();
        mProgressBy = idleDeadline();
        if (mCloseAfter) {
            mFinished = true;
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> closeGently());
            return;
        }
        while (!mWaiting.isEmpty() && mExchange.isEmpty() && !mFinished) {
            accept(mWaiting.poll());
        }
        if (mWaiting.size() < MAX_WAITING) {
            mChannel.config().setAutoRead(true);
        }
    }

    /** Closing with unread bytes would reset the connection and could destroy the answer. */
    private void closeGently() {
        if (mChannel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        mContext.loop().schedule(() -> mChannel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mExchange.ifPresent(exchange -> exchange.pause(!mChannel.isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mFinished = true;
        mClosed.accept(this);
        mExchange.ifPresent(Exchange::onCallerDisconnected);
        mExchange = Optional.empty();
        mWaiting.forEach(ReferenceCountUtil::release);
        mWaiting.clear();
        releaseBody();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mContext.metrics().counter("callers.connection_errors").inc();
        mChannel.close();
    }
}

package org.cornelway.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * One connection to a backend server or to the platform; it carries one request at a time.
 *
 * <p>Invariants: an answer that belongs to another request is read to its end and dropped, and the
 * connection is not used again; so are bytes that come while nothing is asked. Confined to the
 * traffic thread; lives from the connect to the close.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Idle time after which a server that states none may have closed the connection. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    /** Part of a stated idle time that is used, so that a request never meets the close. */
    private static final double IDLE_SHARE = 0.6;

    private final CallCodec mCodec;
    private final StrictResponseDecoder mDecoder;
    private final UpstreamPool mPool;
    private final String mAddress;
    private final Clock mClock;
    private Channel mChannel;
    private Optional<ResponseListener> mListener = Optional.empty();
    private Optional<String> mRequestId = Optional.empty();
    private boolean mWritten;
    private boolean mHeadSeen;
    private boolean mSkipping;
    private boolean mSpent;
    private Deadline mReusableUntil;

    UpstreamConnection(
            CallCodec codec,
            StrictResponseDecoder decoder,
            UpstreamPool pool,
            String address,
            Clock clock) {
        mCodec = codec;
        mDecoder = decoder;
        mPool = pool;
        mAddress = address;
        mClock = clock;
        mReusableUntil = Deadline.after(clock.nowMillis(), DEFAULT_IDLE_MILLIS);
    }

    String address() {
        return mAddress;
    }

    /** Whether a request may be sent now without meeting the server's close. */
    boolean isReusable() {
        return !mSpent && mChannel.isActive() && !mReusableUntil.isPast(mClock.nowMillis());
    }

    /** Sends a request; the connection must be reusable and idle. */
    void send(UpstreamRequest request, ResponseListener listener) {
        mListener = Optional.of(listener);
        mRequestId = request.requestId();
        mWritten = false;
        mHeadSeen = false;
        mDecoder.expectBodyless(request.method().equals(HttpMethod.HEAD));
        mChannel.writeAndFlush(request.message())
                .addListener(
                        done -> {
                            mWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                mChannel.close();
                            }
                        });
    }

    /** Ends the request under way by closing the connection; the listener hears nothing more. */
    void cancel() {
        mListener = Optional.empty();
        close();
    }

    /** Stops or goes on reading, so that an answer waits at the server. */
    void pause(boolean paused) {
        mChannel.config().setAutoRead(!paused);
    }

    /** Closes the connection. */
    void close() {
        mSpent = true;
        mChannel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            broken("malformed answer: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (mListener.isEmpty()) {
            // Nothing was asked: these bytes belong to no request.
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
        if (response.status().code() / 100 == 1) {
            mSkipping = true;
            return;
        }
        ResponseHead head = mCodec.readResponseHead(response);
        boolean foreign =
                mRequestId.isPresent()
                        && !head.requestId().map(mRequestId.get()::equals).orElse(!head.signed());
        if (foreign) {
            mSpent = true;
            mSkipping = true;
            return;
        }
        mHeadSeen = true;
        mSpent |= head.closing() || head.notRun();
        long idle =
                head.keepAliveMillis()
                        .map(millis -> (long) (millis * IDLE_SHARE))
                        .orElse(DEFAULT_IDLE_MILLIS);
        mReusableUntil = Deadline.after(mClock.nowMillis(), idle);
        mListener.get().onHead(response);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            return;
        }
        if (content.content().isReadable()) {
            mListener.get().onContent(content.content());
        }
        if (last && mListener.isPresent()) {
            ResponseListener listener = mListener.get();
            mListener = Optional.empty();
            // A server that answers before it has read the request still waits for the rest.
            if (mSpent || !mWritten) {
                close();
            } else {
                mPool.release(this);
            }
            listener.onEnd();
        }
    }

    private void broken(String reason) {
        mSpent = true;
        Optional<ResponseListener> listener = mListener;
        mListener = Optional.empty();
        mChannel.close();
        listener.ifPresent(each -> each.onFailed(true, reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.onClosed(this);
        broken(mHeadSeen ? "closed within the answer" : "closed before the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken(String.valueOf(cause.getMessage()));
    }
}

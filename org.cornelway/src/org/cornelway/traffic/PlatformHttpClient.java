package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.internal.platform.HttpReply;
import org.cornelway.internal.platform.NotSentException;
import org.cornelway.platform.SendPermit;

/**
 * Sends HTTP requests of this process to the platform and collects the complete responses.
 *
 * <p>Thread-safe; requests are processed on an event loop of their own, so that they do not wait
 * for calls. Each request ends within its timeout, and one that fails with {@link NotSentException}
 * was not sent.
 *
 * <p>A request may state an id in its headers. It then takes no response with another id, and a
 * response without an id only if it has no signature. A late copy of a response without an id
 * cannot be told from the next response; the response to a command is never such a copy.
 */
public final class PlatformHttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** A body is copied when its buffer grows, and once more when it is complete. */
    private static final long MEMORY_PER_BODY_BYTE = 2;

    private final EventLoop mLoop;
    private final UpstreamPool mPool;
    private final CallCodec mCodec;

    PlatformHttpClient(EventLoop loop, UpstreamPool pool, CallCodec codec) {
        mLoop = loop;
        mPool = pool;
        mCodec = codec;
    }

    /**
     * Returns an operation that sends a request when it is subscribed to.
     *
     * @param endpoint address to send the request to
     * @param method HTTP method
     * @param target path and query
     * @param headers headers other than Host, Content-Type and Content-Length
     * @param json the body; empty if the request has none
     * @param timeoutMillis time limit from the start of the request to the complete response
     * @return emits the response, whatever its status, or fails if there is no complete response;
     *     disposing of it closes the connection of a request that was sent
     */
    public Single<HttpReply> send(
            HttpEndpoint endpoint,
            String method,
            String target,
            Map<String, String> headers,
            byte[] json,
            long timeoutMillis) {
        UpstreamRequest request = newRequest(endpoint, method, target, headers, json);
        return send(
                endpoint,
                request,
                emitter -> new PendingRequest(emitter, timeoutMillis, SendPermit.ALWAYS, false));
    }

    /**
     * Does the same as {@link #send} for a command, a request whose response tells whether
     * something was changed. That response is not a late copy of an earlier one: the command is
     * sent only on a connection on which each response so far has stated its id, and the connection
     * is closed after a response without an id.
     *
     * @param permit checked when the command is written to the connection; if it is not valid then,
     *     the command fails with {@link NotSentException}
     */
    public Single<HttpReply> sendCommand(
            HttpEndpoint endpoint,
            String method,
            String target,
            Map<String, String> headers,
            byte[] json,
            long timeoutMillis,
            SendPermit permit) {
        UpstreamRequest request = newRequest(endpoint, method, target, headers, json);
        return send(
                endpoint,
                request,
                emitter -> new PendingRequest(emitter, timeoutMillis, permit, true));
    }

    private UpstreamRequest newRequest(
            HttpEndpoint endpoint,
            String method,
            String target,
            Map<String, String> headers,
            byte[] json) {
        HttpHeaders allHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        allHeaders.set(HttpHeaderNames.HOST, endpoint.toString());
        headers.forEach(allHeaders::set);
        if (json.length > 0) {
            allHeaders.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            allHeaders.set(HttpHeaderNames.CONTENT_LENGTH, json.length);
        }
        return new UpstreamRequest(
                HttpMethod.valueOf(method),
                target,
                allHeaders,
                Unpooled.wrappedBuffer(json),
                mCodec.readRequestId(allHeaders));
    }

    private Single<HttpReply> send(
            HttpEndpoint endpoint,
            UpstreamRequest request,
            Function<SingleEmitter<HttpReply>, PendingRequest> newPending) {
        return Single.create(
                emitter -> {
                    PendingRequest pending = newPending.apply(emitter);
                    emitter.setCancellable(() -> mLoop.execute(pending::cancel));
                    mLoop.execute(() -> pending.start(endpoint, request));
                });
    }

    /** A request whose response is not complete yet. Confined to the event loop. */
    private final class PendingRequest implements ResponseListener, UpstreamPool.AcquireListener {
        private final SingleEmitter<HttpReply> mEmitter;
        private final long mTimeoutMillis;
        private final SendPermit mPermit;
        private final boolean mIsCommand;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final ResponseMemory.Share mShare =
                mPool.memory().newShare(() -> abort("no memory for more of the response"));
        private Optional<UpstreamConnection> mConnection = Optional.empty();
        private UpstreamRequest mRequest;
        private int mStatus;
        private String mContentType = "";
        private final Map<String, String> mHeaders = new HashMap<>();
        private boolean mDone;

        PendingRequest(
                SingleEmitter<HttpReply> emitter,
                long timeoutMillis,
                SendPermit permit,
                boolean isCommand) {
            mEmitter = emitter;
            mTimeoutMillis = timeoutMillis;
            mPermit = permit;
            mIsCommand = isCommand;
        }

        void start(HttpEndpoint endpoint, UpstreamRequest request) {
            mRequest = request;
            mLoop.schedule(this::expire, mTimeoutMillis, TimeUnit.MILLISECONDS);
            mPool.acquire(endpoint.host(), endpoint.port(), this);
        }

        @Override
        public boolean accepts(UpstreamConnection connection) {
            return !mIsCommand || connection.identifiesResponses();
        }

        @Override
        public void onAcquired(UpstreamConnection connection) {
            if (mDone) {
                mPool.release(connection);
                return;
            }
            if (!mPermit.isValid()) {
                mPool.release(connection);
                fail(new NotSentException("the permit to send has expired"));
                return;
            }
            mConnection = Optional.of(connection);
            connection.send(mRequest, this);
        }

        @Override
        public void onConnectFailed(String reason) {
            fail(new NotSentException(reason));
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.status().code();
            mContentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            head.headers().forEach(each -> mHeaders.put(lowerCase(each.getKey()), each.getValue()));
        }

        @Override
        public void onContent(ByteBuf content) {
            int size = mBody.size() + content.readableBytes();
            if (size > MAX_RESPONSE_BYTES) {
                abort("response exceeds " + MAX_RESPONSE_BYTES + " bytes");
                return;
            }
            if (!mShare.resize(MEMORY_PER_BODY_BYTE * size)) {
                abort("no memory for more of the response");
                return;
            }
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            mBody.writeBytes(bytes);
        }

        private static String lowerCase(String name) {
            return name.toLowerCase(Locale.ROOT);
        }

        private void abort(String reason) {
            mConnection.ifPresent(UpstreamConnection::cancel);
            fail(new IOException(reason));
        }

        @Override
        public void onEnd() {
            if (mIsCommand) {
                mConnection
                        .filter(each -> !each.identifiesResponses())
                        .ifPresent(UpstreamConnection::close);
            }
            if (!mDone) {
                markDone();
                mEmitter.onSuccess(
                        new HttpReply(
                                mStatus,
                                mContentType,
                                mBody.toByteArray(),
                                "",
                                Map.copyOf(mHeaders)));
            }
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            fail(sent ? new IOException(reason) : new NotSentException(reason));
        }

        private void expire() {
            if (!mDone) {
                mConnection.ifPresent(UpstreamConnection::cancel);
                fail(
                        mConnection.isPresent()
                                ? new IOException("no response within " + mTimeoutMillis + " ms")
                                : new NotSentException(
                                        "no connection; timeout in ms: " + mTimeoutMillis));
            }
        }

        /** Ends the request if its caller has no more use for the response. */
        void cancel() {
            if (!mDone) {
                markDone();
                mConnection.ifPresent(UpstreamConnection::cancel);
            }
        }

        private void markDone() {
            mDone = true;
            mShare.release();
        }

        private void fail(Exception cause) {
            if (!mDone) {
                markDone();
                mEmitter.tryOnError(cause);
            }
        }
    }
}

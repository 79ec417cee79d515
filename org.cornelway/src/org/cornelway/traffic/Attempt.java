package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.route.CallKind;

/**
 * One send of a call to one backend server.
 *
 * <p>Ends exactly once: with a whole answer, with proof that the call did not run, or with neither.
 * Confined to the traffic thread.
 */
final class Attempt implements ResponseListener, UpstreamPool.AcquireListener {
    /** Longest answer that is kept whole before the caller gets its first byte. */
    private static final int MAX_WHOLE_BYTES = 1 << 20;

    /** A safe call that is silent for longer is tried elsewhere; longer than nearly all work. */
    private static final long SAFE_STALL_MILLIS = 450;

    /** A stream without its first event for longer is tried elsewhere, if it may be. */
    private static final long FIRST_EVENT_STALL_MILLIS = 1_500;

    /** Pauses between events, in multiples of the objective, after which a stream has stalled. */
    private static final long GAP_MULTIPLE = 5;

    private final TrafficContext mContext;
    private final Exchange mExchange;
    private final CallerRequest mRequest;
    private final ServerRecord mServer;
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<ResponseHead> mHead = Optional.empty();
    private HttpResponseStatus mStatus = HttpResponseStatus.OK;
    private HttpHeaders mHeaders;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private boolean mStreaming;
    private boolean mEnded;
    private long mProgressMillis;
    private Optional<ModelUsage.RunningCall> mUsage = Optional.empty();

    Attempt(TrafficContext context, Exchange exchange, CallerRequest request, ServerRecord server) {
        mContext = context;
        mExchange = exchange;
        mRequest = request;
        mServer = server;
        mProgressMillis = context.clock().nowMillis();
    }

    ServerRecord server() {
        return mServer;
    }

    /** Whether bytes of the call left and no proof says that it did not run. */
    boolean mayHaveRun() {
        return mConnection.isPresent() && !mHead.map(ResponseHead::notRun).orElse(false);
    }

    void start() {
        mContext.loads().callStarted(mServer.incarnation());
        mUsage =
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
    public void onAcquired(UpstreamConnection connection) {
        if (mEnded) {
            mContext.pool().release(connection);
            return;
        }
        if (!mContext.view().get().directory().isUsable(mServer.incarnation())) {
            mContext.pool().release(connection);
            if (conclude()) {
                mExchange.onNotSent(this, "the server left before the send");
            }
            return;
        }
        mConnection = Optional.of(connection);
        mProgressMillis = mContext.clock().nowMillis();
        connection.send(upstreamRequest(), this);
    }

    private UpstreamRequest upstreamRequest() {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        long left = mExchange.deadline().remainingMillis(mContext.clock().nowMillis());
        Optional<String> lastId =
                mExchange.relay().filter(StreamRelay::hasBegun).flatMap(StreamRelay::lastId);
        Optional<Integer> rank =
                mRequest.head().target().map(target -> EnginePriority.of(mExchange.route()));
        mContext.codec()
                .writeForwardedHeaders(
                        mRequest.message(),
                        new ForwardedRequestHead(mServer.id(), left, rank, lastId),
                        headers);
        boolean framed =
                mRequest.body().isReadable()
                        || mRequest.message().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || mRequest.message().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (framed) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, mRequest.body().readableBytes());
        }
        return new UpstreamRequest(
                mRequest.message().method(),
                mRequest.message().uri(),
                headers,
                mRequest.body(),
                Optional.of(mRequest.head().requestId()));
    }

    @Override
    public void onConnectFailed(String reason) {
        mContext.loads().recordFailure(mServer.incarnation());
        notHeld();
        if (conclude()) {
            mExchange.onNotSent(this, "not connected: " + reason);
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        ResponseHead head = mContext.codec().readResponseHead(response);
        mHead = Optional.of(head);
        mStatus = response.status();
        mHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        mContext.codec().writeResponseHeaders(response, mHeaders);
        progress();
        head.load()
                .ifPresent(
                        load -> mContext.loads().recordReportedLoad(mServer.incarnation(), load));
        if (head.isSuccess() && (!head.signed() || head.contentEncoded())) {
            spoiled("success without the server's mark, or encoded");
            return;
        }
        mStreaming =
                head.isSuccess()
                        && mExchange.route().kind() == CallKind.STREAM
                        && response.status().equals(HttpResponseStatus.OK);
        if (mStreaming) {
            mContext.loads().addStreams(mServer.incarnation(), 1);
        }
    }

    private void progress() {
        mProgressMillis = mContext.clock().nowMillis();
        mContext.loads().recordActivity(mServer.incarnation());
    }

    private void spoiled(String reason) {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mContext.loads().recordResponse(mServer.incarnation(), false);
        if (conclude()) {
            mExchange.onMayHaveRun(this, reason, Optional.empty());
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (mEnded) {
            return;
        }
        progress();
        if (mStreaming) {
            try {
                mExchange.relay().orElseThrow().feed(mStatus, mHeaders, content);
            } catch (IllegalStateException e) {
                spoiled(e.getMessage());
            }
        } else if (mBody.readableBytes() + content.readableBytes() > MAX_WHOLE_BYTES) {
            spoiled("an answer of more than " + MAX_WHOLE_BYTES + " bytes");
        } else {
            if (!mBody.isReadable()) {
                mBody = Unpooled.buffer(content.readableBytes());
            }
            mBody.writeBytes(content, content.readerIndex(), content.readableBytes());
        }
    }

    @Override
    public void onEnd() {
        if (!conclude()) {
            return;
        }
        ResponseHead head = mHead.orElseThrow();
        if (head.notRun()) {
            refused(head);
        } else if (mStreaming) {
            streamEnded();
        } else {
            whole(head);
        }
    }

    private void refused(ResponseHead head) {
        boolean otherServer =
                head.misdirected()
                        && head.serverId().map(id -> !id.equals(mServer.id())).orElse(false);
        if (otherServer) {
            mContext.loads().recordFailure(mServer.incarnation());
        } else if (head.misdirected() || mExchange.recordRefusal(mServer.incarnation())) {
            notHeld();
        }
        mExchange.onRefused(this, "refused with " + head.status(), !head.misdirected());
    }

    /** The model must come from another server, until the controller says otherwise. */
    private void notHeld() {
        Optional<ModelTarget> target = mRequest.head().target();
        if (target.isPresent()) {
            mContext.holdings().remove(mServer.incarnation(), target.get());
            mExchange.onNotHeld(mServer.incarnation());
        }
    }

    private void streamEnded() {
        StreamRelay relay = mExchange.relay().orElseThrow();
        if (relay.hasPartial()) {
            mContext.loads().recordResponse(mServer.incarnation(), false);
            mExchange.onMayHaveRun(this, "ended within an event", Optional.empty());
        } else {
            mContext.loads().recordResponse(mServer.incarnation(), true);
            mUsage.ifPresent(mContext.usage()::callCompleted);
            relay.ensureHeadSent(mStatus, mHeaders);
            mExchange.onStreamEnd();
        }
    }

    private void whole(ResponseHead head) {
        boolean failure = head.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        mContext.loads().recordResponse(mServer.incarnation(), !failure);
        FullResponse reply = new FullResponse(mStatus, mHeaders, mBody);
        if (failure) {
            mExchange.onMayHaveRun(this, "failed with " + head.status(), Optional.of(reply));
        } else {
            mExchange.onFullResponse(reply);
        }
    }

    @Override
    public void onFailed(boolean sent, String reason) {
        mContext.loads().recordFailure(mServer.incarnation());
        if (!conclude()) {
            return;
        }
        if (sent) {
            mExchange.onMayHaveRun(this, reason, Optional.empty());
        } else {
            mExchange.onNotSent(this, reason);
        }
    }

    /**
     * Looks for a server that has gone silent. A call that may be repeated then goes elsewhere, but
     * only where another server can take it at once: silence alone ends no answer.
     */
    void tick() {
        if (mEnded || mConnection.isEmpty() || !mExchange.canRepeat()) {
            return;
        }
        long silent = mContext.clock().nowMillis() - mProgressMillis;
        long limit =
                stallMillis() / (mContext.loads().hasRecentFailure(mServer.incarnation()) ? 2 : 1);
        if (silent > limit && mExchange.hasAlternative(mServer.incarnation())) {
            mContext.loads().recordFailure(mServer.incarnation());
            mConnection.ifPresent(UpstreamConnection::cancel);
            if (conclude()) {
                mExchange.onMayHaveRun(this, "silent for " + silent + " ms", Optional.empty());
            }
        }
    }

    private long stallMillis() {
        if (mExchange.route().kind() == CallKind.SAFE) {
            return SAFE_STALL_MILLIS;
        }
        boolean begun = mExchange.relay().map(StreamRelay::hasBegun).orElse(false);
        long gap = mExchange.route().targetGapMillis();
        return begun && gap > 0 ? GAP_MULTIPLE * gap : FIRST_EVENT_STALL_MILLIS;
    }

    void pause(boolean paused) {
        mConnection.ifPresent(connection -> connection.pause(paused));
    }

    /** Ends the attempt without telling the call. */
    void cancel() {
        if (conclude()) {
            mConnection.ifPresent(UpstreamConnection::cancel);
        }
    }

    /** True the first time; the server's counts are settled then. */
    private boolean conclude() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mContext.loads().callEnded(mServer.incarnation());
        if (mStreaming) {
            mContext.loads().addStreams(mServer.incarnation(), -1);
        }
        mUsage.ifPresent(mContext.usage()::callEnded);
        return true;
    }
}

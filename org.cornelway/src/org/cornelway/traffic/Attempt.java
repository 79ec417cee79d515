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
final class Attempt implements ReplyListener, UpstreamPool.Opening {
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
    private Optional<ReplyHead> mHead = Optional.empty();
    private HttpResponseStatus mStatus = HttpResponseStatus.OK;
    private HttpHeaders mHeaders;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private boolean mStreaming;
    private boolean mEnded;
    private long mProgressMillis;
    private Optional<ModelUsage.Running> mUsage = Optional.empty();

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
        return mConnection.isPresent() && !mHead.map(ReplyHead::notRun).orElse(false);
    }

    void start() {
        mContext.loads().sent(mServer.life());
        mUsage =
                mRequest.head()
                        .target()
                        .map(
                                target ->
                                        mContext.usage()
                                                .began(
                                                        mServer.id(),
                                                        target,
                                                        mRequest.head().expectedTokens()));
        mContext.pool().acquire(mServer.host(), mServer.port(), this);
    }

    @Override
    public void opened(UpstreamConnection connection) {
        if (mEnded) {
            mContext.pool().release(connection);
            return;
        }
        if (!mContext.view().get().directory().isUsable(mServer.life())) {
            mContext.pool().release(connection);
            if (conclude()) {
                mExchange.onNotArrived(this, "the server left before the send");
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
                mRequest.head().target().map(target -> EngineRank.of(mExchange.route()));
        mContext.codec()
                .forward(
                        mRequest.message(),
                        new ForwardHead(mServer.id(), left, rank, lastId),
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
    public void failed(String reason) {
        mContext.loads().failed(mServer.life());
        notHeld();
        if (conclude()) {
            mExchange.onNotArrived(this, "not connected: " + reason);
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        ReplyHead head = mContext.codec().reply(response);
        mHead = Optional.of(head);
        mStatus = response.status();
        mHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        mContext.codec().answer(response, mHeaders);
        progress();
        head.load().ifPresent(load -> mContext.loads().told(mServer.life(), load));
        if (head.isSuccess() && (!head.genuine() || head.encoded())) {
            spoiled("success without the server's mark, or encoded");
            return;
        }
        mStreaming =
                head.isSuccess()
                        && mExchange.route().kind() == CallKind.STREAM
                        && response.status().equals(HttpResponseStatus.OK);
        if (mStreaming) {
            mContext.loads().streaming(mServer.life(), 1);
        }
    }

    private void progress() {
        mProgressMillis = mContext.clock().nowMillis();
        mContext.loads().heard(mServer.life());
    }

    private void spoiled(String reason) {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mContext.loads().answered(mServer.life(), false);
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
        ReplyHead head = mHead.orElseThrow();
        if (head.notRun()) {
            refused(head);
        } else if (mStreaming) {
            streamEnded();
        } else {
            whole(head);
        }
    }

    private void refused(ReplyHead head) {
        boolean otherServer =
                head.otherServer()
                        && head.answeredBy().map(id -> !id.equals(mServer.id())).orElse(false);
        if (otherServer) {
            mContext.loads().failed(mServer.life());
        } else if (head.otherServer() || mExchange.wasRefusedBy(mServer.life())) {
            notHeld();
        }
        mExchange.onRefused(this, "refused with " + head.status(), !head.otherServer());
    }

    /** The model must come from another server, until the controller says otherwise. */
    private void notHeld() {
        Optional<ModelTarget> target = mRequest.head().target();
        if (target.isPresent()) {
            mContext.holdings().denied(mServer.life(), target.get());
            mExchange.onNotHeld(mServer.life());
        }
    }

    private void streamEnded() {
        StreamRelay relay = mExchange.relay().orElseThrow();
        if (relay.hasPartial()) {
            mContext.loads().answered(mServer.life(), false);
            mExchange.onMayHaveRun(this, "ended within an event", Optional.empty());
        } else {
            mContext.loads().answered(mServer.life(), true);
            mUsage.ifPresent(mContext.usage()::completed);
            relay.begin(mStatus, mHeaders);
            mExchange.onStreamEnd();
        }
    }

    private void whole(ReplyHead head) {
        boolean failure = head.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        mContext.loads().answered(mServer.life(), !failure);
        WholeReply reply = new WholeReply(mStatus, mHeaders, mBody);
        if (failure) {
            mExchange.onMayHaveRun(this, "failed with " + head.status(), Optional.of(reply));
        } else {
            mExchange.onWhole(reply);
        }
    }

    @Override
    public void onBroken(boolean sent, String reason) {
        mContext.loads().failed(mServer.life());
        if (!conclude()) {
            return;
        }
        if (sent) {
            mExchange.onMayHaveRun(this, reason, Optional.empty());
        } else {
            mExchange.onNotArrived(this, reason);
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
        long limit = stallMillis() / (mContext.loads().hasFailed(mServer.life()) ? 2 : 1);
        if (silent > limit && mExchange.hasAlternative(mServer.life())) {
            mContext.loads().failed(mServer.life());
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
        mContext.loads().ended(mServer.life());
        if (mStreaming) {
            mContext.loads().streaming(mServer.life(), -1);
        }
        mUsage.ifPresent(mContext.usage()::ended);
        return true;
    }
}

package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the responses of a backend server or of the platform and rejects those with ambiguous
 * framing. A response to HEAD has no body, whatever its headers state.
 *
 * <p>Tells bytes that arrive while a response is expected from all others, even if they are only a
 * part of a message.
 *
 * <p>Confined to its connection.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;

    /** Bytes of the objects of a head for each of its bytes, if its lines are the shortest. */
    private static final int MEMORY_PER_HEAD_BYTE = 48;

    /** The buffer of the undecoded bytes is copied when it grows. */
    private static final int MEMORY_PER_BUFFER_BYTE = 2;

    /** Whether a request is outstanding, so that a response is expected. */
    private boolean mExpecting;

    private boolean mBodyless;

    /** Whether bytes have arrived while no response was expected. */
    private boolean mUnexpectedBytes;

    /** Bytes decoded since the last message; the superclass skips some bytes without a limit. */
    private int mBytesWithoutMessage;

    /** Memory of the undecoded bytes and of the head or trailer that is being decoded. */
    private final ResponseMemory.Share mShare;

    private ChannelHandlerContext mContext;

    StrictResponseDecoder(ResponseMemory memory) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setAllowDuplicateContentLengths(false));
        mShare = memory.newShare(this::onMemoryRevoked);
    }

    private void onMemoryRevoked() {
        try {
            mContext.fireExceptionCaught(dropHead());
        } catch (Exception e) {
            mContext.fireExceptionCaught(e);
        }
    }

    /**
     * Drops the incomplete head, which the superclass would keep until the close of the connection
     * is processed; returns the reason for closing it.
     */
    private TooLongHttpHeaderException dropHead() throws Exception {
        reset();
        super.decode(mContext, Unpooled.EMPTY_BUFFER, new ArrayList<>());
        return new TooLongHttpHeaderException("no memory for more of an incomplete head");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        mContext = context;
        super.handlerAdded(context);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        mShare.release();
        super.handlerRemoved0(context);
    }

    /**
     * Expects a response from now on.
     *
     * @param bodyless whether the response has no body, because its request is HEAD
     */
    void expectResponse(boolean bodyless) {
        mExpecting = true;
        mBodyless = bodyless;
    }

    /** Expects no response any more: it is complete, or nobody waits for it. */
    void endResponse() {
        mExpecting = false;
    }

    /**
     * Whether the server has sent bytes that belong to no expected response: bytes that are not
     * decoded yet, or whole lines of a head that the superclass keeps.
     */
    boolean hasUnexpectedBytes() {
        boolean hasPart = actualReadableBytes() > 0 || mBytesWithoutMessage > 0;
        return mUnexpectedBytes || !mExpecting && hasPart;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mUnexpectedBytes |= !mExpecting && message instanceof ByteBuf bytes && bytes.isReadable();
        super.channelRead(context, message);
    }

    /**
     * Decodes the next part of a response.
     *
     * @throws TooLongHttpHeaderException if a server sends more bytes that are no part of a
     *     response than the longest head has, or if there is no memory for them
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int before = in.readableBytes();
        super.decode(context, in, out);
        mBytesWithoutMessage =
                out.isEmpty() ? mBytesWithoutMessage + before - in.readableBytes() : 0;
        if (mBytesWithoutMessage > MAX_HEAD_BYTES) {
            throw new TooLongHttpHeaderException(
                    "more than " + MAX_HEAD_BYTES + " bytes that are no response");
        }
        long bytes = (long) mBytesWithoutMessage * MEMORY_PER_HEAD_BYTE;
        if (!mShare.resize(out.isEmpty() ? bytes + MEMORY_PER_BUFFER_BYTE * in.capacity() : 0)) {
            in.skipBytes(in.readableBytes());
            throw dropHead();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mBodyless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}

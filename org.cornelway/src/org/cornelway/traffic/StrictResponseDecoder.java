package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
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

    /** Whether a request is outstanding, so that a response is expected. */
    private boolean mExpecting;

    private boolean mBodyless;

    /** Whether bytes have arrived while no response was expected. */
    private boolean mUnexpectedBytes;

    /** Bytes decoded since the last message; the superclass skips some bytes without a limit. */
    private int mBytesWithoutMessage;

    StrictResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setAllowDuplicateContentLengths(false));
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

    /** Whether the server has sent bytes, decoded or not, that belong to no expected response. */
    boolean hasUnexpectedBytes() {
        return mUnexpectedBytes || !mExpecting && actualReadableBytes() > 0;
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
     *     response than the longest head has
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

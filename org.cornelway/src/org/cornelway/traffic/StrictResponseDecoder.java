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
 * <p>Confined to its connection.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;

    private boolean mNextBodyless;

    /** Bytes decoded since the last message; the superclass skips some bytes without a limit. */
    private int mBytesWithoutMessage;

    StrictResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setAllowDuplicateContentLengths(false));
    }

    /** Sets whether the next response has no body, because its request was HEAD. */
    void setNextBodyless(boolean bodyless) {
        mNextBodyless = bodyless;
    }

    /** Whether bytes were received that are not decoded yet. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
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
        return mNextBodyless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}

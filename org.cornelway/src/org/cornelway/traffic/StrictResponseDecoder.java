package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

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

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mNextBodyless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}

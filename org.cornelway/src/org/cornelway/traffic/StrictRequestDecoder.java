package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those whose framing two readers could understand differently.
 *
 * <p>Confined to its connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** A head longer than the configured limit is answered, not cut, so the decoder reads on. */
    private static final int HEAD_SLACK_BYTES = 64 << 10;

    private static final int CHUNK_BYTES = 16 << 10;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes + HEAD_SLACK_BYTES)
                        .setMaxHeaderSize(maxHeaderBytes + HEAD_SLACK_BYTES)
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}

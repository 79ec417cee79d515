package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with ambiguous framing, which another HTTP parser could read
 * differently. This prevents request smuggling.
 *
 * <p>Confined to the event loop of its connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /**
     * Bytes that the decoder accepts beyond the configured limit, so that a request whose head
     * exceeds the limit gets an error response instead of a closed connection.
     */
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
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}

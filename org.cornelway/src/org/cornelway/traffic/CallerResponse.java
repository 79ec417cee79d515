package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the one answer to a caller's request. Confined to the traffic thread.
 *
 * <p>Either {@link #whole}, or {@link #begin}, parts and {@link #end}; {@link #cut} at any time
 * ends an answer so that it cannot be taken for a whole one.
 */
interface CallerResponse {
    /** Writes a whole answer; the body is released. */
    void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Writes the head of an answer that comes in parts. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers);

    /** Writes a part; it is released. */
    void sendPart(ByteBuf part);

    /** Ends an answer that came in parts. */
    void end();

    /** Breaks the answer off. */
    void abort();
}

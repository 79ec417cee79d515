package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Sends the response to a caller's request. Confined to the traffic thread.
 *
 * <p>A response is sent either with {@link #sendFull}, or with {@link #sendHead}, {@link #sendPart}
 * and {@link #end}. {@link #abort} may be called at any time; the caller can then tell that the
 * response is incomplete.
 */
interface CallerResponse {
    /** Sends a complete response; releases the body. */
    void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of a streamed response. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a part of the body of a streamed response; releases the part. */
    void sendPart(ByteBuf part);

    /** Ends a streamed response. */
    void end();

    /** Closes the connection without completing the response. */
    void abort();
}

package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete response of a backend server, to be forwarded to the caller.
 *
 * @param status HTTP status
 * @param headers end-to-end headers of the server's response
 * @param body complete body, on the heap
 */
record FullResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    /** Whether the status says that the call failed. */
    boolean isError() {
        return status.code() >= HttpResponseStatus.BAD_REQUEST.code();
    }
}

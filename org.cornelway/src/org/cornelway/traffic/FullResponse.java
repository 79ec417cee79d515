package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A backend server's whole answer, ready for the caller.
 *
 * @param status its status
 * @param headers its end-to-end headers
 * @param body its whole body, on the heap
 */
record FullResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}

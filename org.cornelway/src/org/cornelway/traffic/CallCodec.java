package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.cornelway.result.Result;

/** Reads and writes the heads of calls in the platform's names. Stateless and thread-safe. */
public interface CallCodec {
    /** Reads a caller's request head; a failure says what is wrong with it. */
    Result<RequestHead> readRequestHead(HttpRequest request);

    /** Writes the headers of a call for a backend server. */
    void writeForwardedHeaders(HttpRequest from, ForwardedRequestHead head, HttpHeaders to);

    /** Reads the head of a backend server's answer. */
    ResponseHead readResponseHead(HttpResponse response);

    /** Writes the headers of a backend server's answer for the caller. */
    void writeResponseHeaders(HttpResponse from, HttpHeaders to);

    /**
     * Writes the headers of an answer of the system's own.
     *
     * @param requestId id of the request, or empty
     * @param retryAfterMillis when the caller may come back; 0 or less says nothing
     */
    void writeLocalHeaders(String requestId, long retryAfterMillis, HttpHeaders to);
}

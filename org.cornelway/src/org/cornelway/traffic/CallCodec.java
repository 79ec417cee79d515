package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.cornelway.result.Result;

/**
 * Translates between the platform's HTTP headers and the heads of calls. Implementations are
 * stateless and thread-safe.
 */
public interface CallCodec {
    /** Reads the head of a caller's request; a failed result says what is malformed. */
    Result<RequestHead> readRequestHead(HttpRequest request);

    /**
     * Writes the headers of a request to a backend server: the end-to-end headers of the caller's
     * request, and those that this system sets.
     */
    void writeForwardedHeaders(HttpRequest from, ForwardedHeaders head, HttpHeaders to);

    /** Reads the id that a request states or that its response echoes; empty if there is none. */
    Optional<String> readRequestId(HttpHeaders headers);

    /** Reads the head of a backend server's response. */
    ResponseHead readResponseHead(HttpResponse response);

    /** Copies the end-to-end headers of a backend server's response to the caller's response. */
    void writeResponseHeaders(HttpResponse from, HttpHeaders to);

    /**
     * Writes the headers of a response that this process generates itself.
     *
     * @param requestId id of the request, or empty
     * @param retryAfterMillis delay after which the caller may retry; 0 or less omits the header
     */
    void writeLocalHeaders(String requestId, long retryAfterMillis, HttpHeaders to);
}

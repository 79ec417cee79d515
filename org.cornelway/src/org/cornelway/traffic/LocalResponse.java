package org.cornelway.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelway.config.Json;
import org.cornelway.http.ErrorBody;
import org.cornelway.result.ResultCode;

/** Sends responses that this process generates itself. Stateless; called on the traffic thread. */
final class LocalResponse {
    /** The scheme of the Authorization header with a customer's key. */
    private static final String KEY_SCHEME = "Bearer";

    private LocalResponse() {}

    /**
     * Sends a response with an error body.
     *
     * @param retryAfterMillis delay after which the caller may retry; 0 or less omits the header
     */
    static void send(
            CallCodec codec,
            CallerRequest request,
            CallerResponse response,
            HttpResponseStatus status,
            ResultCode code,
            String reason,
            long retryAfterMillis) {
        String id = request.head().requestId();
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        codec.writeLocalHeaders(id, retryAfterMillis, headers);
        if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, KEY_SCHEME);
        }
        byte[] body = Json.write(ErrorBody.of(code, reason, id));
        response.sendFull(status, headers, Unpooled.wrappedBuffer(body));
    }
}

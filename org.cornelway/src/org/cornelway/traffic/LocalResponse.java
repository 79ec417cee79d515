package org.cornelway.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelway.config.Json;
import org.cornelway.http.ErrorBody;
import org.cornelway.result.ResultCode;

/** Writes answers of the system's own. Stateless; called on the traffic thread. */
final class LocalResponse {
    private LocalResponse() {}

    /**
     * Writes an answer.
     *
     * @param retryAfterMillis when the caller may come back; 0 says nothing
     */
    static void write(
            CallCodec codec,
            CallerRequest request,
            CallerResponse answer,
            HttpResponseStatus status,
            ResultCode code,
            String reason,
            long retryAfterMillis) {
        String id = request.head().requestId();
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        codec.writeLocalHeaders(id, retryAfterMillis, headers);
        byte[] body = Json.write(ErrorBody.of(code, reason, id));
        answer.sendFull(status, headers, Unpooled.wrappedBuffer(body));
    }
}

package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * A request to a backend server or to the platform. Immutable; its body is read-only.
 *
 * @param method HTTP method
 * @param target path and query, written to the request line unchanged
 * @param headers complete headers
 * @param body complete body
 * @param requestId id that the response must echo; empty if responses echo none
 */
record UpstreamRequest(
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        Optional<String> requestId) {

    /**
     * Returns the request that forwards a caller's request.
     *
     * @param forwarded the headers that this system sets
     */
    static UpstreamRequest forward(
            CallerRequest request, ForwardedHeaders forwarded, CallCodec codec) {
        HttpHeaders from = request.message().headers();
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        codec.writeForwardedHeaders(request.message(), forwarded, headers);
        boolean hasBody =
                request.body().isReadable()
                        || from.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || from.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        return new UpstreamRequest(
                request.message().method(),
                request.message().uri(),
                headers,
                request.body(),
                Optional.of(request.head().requestId()));
    }

    /** Returns the message to write, which has its own reference to the body. */
    DefaultFullHttpRequest message() {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                target,
                body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}

package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.route.CallerLimits;

/**
 * Checks the heads of requests and rejects requests that are malformed, ambiguously framed or too
 * long. Stateless.
 */
final class RequestValidator {
    /** Bytes of a header besides its name and value: a colon, a space, CR and LF. */
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private RequestValidator() {}

    /**
     * Returns the status with which to reject a request, or empty if the request is well formed and
     * within the limits.
     */
    static Optional<HttpResponseStatus> validate(HttpRequest request, CallerLimits limits) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLong =
                    cause instanceof TooLongHttpHeaderException
                            || cause instanceof TooLongHttpLineException;
            return Optional.of(
                    tooLong
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST);
        }
        if (headBytes(request) > limits.maxHeaderBytes()) {
            return Optional.of(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        if (!request.uri().startsWith("/") || hasAmbiguousFraming(request)) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return Optional.empty();
    }

    /**
     * Whether other HTTP parsers could read another end of the body, because of the
     * Transfer-Encoding header. {@link StrictRequestDecoder} rejects requests with several
     * Content-Length headers.
     */
    private static boolean hasAmbiguousFraming(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.isEmpty()) {
            return false;
        }
        return encodings.size() > 1
                || !encodings.get(0).trim().equalsIgnoreCase("chunked")
                || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || !request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    private static int headBytes(HttpRequest request) {
        int bytes = request.method().name().length() + request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
        }
        return bytes;
    }
}

package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Checks the heads of responses. A server that breaks off a response within its head and goes on
 * with another one sends a head that is joined from two: the status of the first, the body of the
 * second. Stateless and thread-safe.
 */
final class ResponseValidator {
    private static final String VERSION_PREFIX = "HTTP/1.";

    /** Version and status; the reason behind them may be missing. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}( |$)");

    private ResponseValidator() {}

    /** Whether the status is one that HTTP defines, from 100 to 599. */
    static boolean hasDefinedStatus(HttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.UNKNOWN;
    }

    /** Whether the reason or the value of a header contains the status line of a response. */
    static boolean containsStatusLine(HttpResponse response) {
        if (isStatusLineIn(response.status().reasonPhrase())) {
            return true;
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                response.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            if (isStatusLineIn(headers.next().getValue().toString())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether only the close of the connection ends a response: it has neither a length nor chunks.
     *
     * @param method method of the request; a response to HEAD ends with its head
     */
    static boolean endsWithClose(HttpMethod method, HttpResponse response) {
        return !method.equals(HttpMethod.HEAD)
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    private static boolean isStatusLineIn(String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}

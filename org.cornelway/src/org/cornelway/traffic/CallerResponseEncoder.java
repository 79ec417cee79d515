package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes the responses to a caller. A response to HEAD is written without its body, which the
 * caller would take for the start of the next response; its headers stay as they are.
 *
 * <p>Confined to its connection.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean mNextBodyless;

    /** Sets whether the next response has no body, because its request was HEAD. */
    void setNextBodyless(boolean bodyless) {
        mNextBodyless = bodyless;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mNextBodyless || super.isContentAlwaysEmpty(response);
    }
}

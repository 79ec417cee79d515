package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears the answer to one request. Called on the traffic thread; exactly one of {@link #onEnd} and
 * {@link #onBroken} comes last.
 */
interface ResponseListener {
    /** The head came. */
    void onHead(HttpResponse head);

    /** A part of the body came; it is released after the call. */
    void onContent(ByteBuf content);

    /** The answer is whole. */
    void onEnd();

    /**
     * The answer will not come, or not whole.
     *
     * @param sent false proves that no byte of the request left
     */
    void onFailed(boolean sent, String reason);
}

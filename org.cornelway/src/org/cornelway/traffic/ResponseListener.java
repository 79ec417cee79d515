package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. Called on the traffic thread. The last call is either
 * {@link #onEnd} or {@link #onFailed}, unless the request is cancelled.
 */
interface ResponseListener {
    /**
     * A head has arrived from the server, also one that belongs to another request or to none.
     * Unlike the other methods, it may be called after the last call.
     */
    default void onServerHead(ResponseHead head) {}

    /** The head has arrived. */
    void onHead(HttpResponse head);

    /** A part of the body has arrived; the caller releases the buffer when this method returns. */
    void onContent(ByteBuf content);

    /** The response is complete. */
    void onEnd();

    /**
     * The response will not arrive, or is incomplete.
     *
     * @param sent false only if it is certain that no byte of the request was sent
     */
    void onFailed(boolean sent, String reason);
}

package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * Receives the response to one request. Called on the traffic thread. The last call is either
 * {@link #onEnd} or {@link #onFailed}, unless the request is cancelled.
 */
interface ResponseListener {
    /**
     * Returns the reader of all heads that arrive on the connection, also of those that belong to
     * another request or to none; empty if nobody wants them.
     */
    default Optional<NoticeReader> noticeReader() {
        return Optional.empty();
    }

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

package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A caller's response that records what the caller gets. Used by one thread. */
final class RecordedResponse implements CallerResponse {
    private final StringBuilder mBody = new StringBuilder();
    private Optional<HttpResponseStatus> mStatus = Optional.empty();
    private boolean mEnded;
    private boolean mAborted;

    /** The bytes of the body so far, as text. */
    String body() {
        return mBody.toString();
    }

    /** The status of the response; empty before its head is sent. */
    Optional<HttpResponseStatus> status() {
        return mStatus;
    }

    /** Whether the response was completed. */
    boolean isEnded() {
        return mEnded;
    }

    /** Whether the connection was closed within the response. */
    boolean isAborted() {
        return mAborted;
    }

    @Override
    public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        sendHead(status, headers);
        sendPart(body);
        end();
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        mStatus = Optional.of(status);
    }

    @Override
    public void sendPart(ByteBuf part) {
        mBody.append(part.toString(StandardCharsets.UTF_8));
        part.release();
    }

    @Override
    public void end() {
        mEnded = true;
    }

    @Override
    public void abort() {
        mAborted = true;
    }
}

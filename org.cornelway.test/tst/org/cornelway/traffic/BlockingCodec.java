package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.result.Result;

/**
 * A codec that blocks the traffic thread while it reads the head of a given request, so that the
 * timers which are due then run before anything else is read. Thread-safe.
 */
final class BlockingCodec implements CallCodec {
    /** Id of the request. */
    static final String BLOCKING_ID = "blocking";

    private final CallCodec mCodec = new WireCallCodec();
    private volatile long mBlockMillis;

    void setBlockMillis(long millis) {
        mBlockMillis = millis;
    }

    /** Blocks the current thread. */
    static void block(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Result<RequestHead> readRequestHead(HttpRequest request) {
        if (mCodec.readRequestId(request.headers()).equals(Optional.of(BLOCKING_ID))) {
            block(mBlockMillis);
        }
        return mCodec.readRequestHead(request);
    }

    @Override
    public void writeForwardedHeaders(HttpRequest from, ForwardedHeaders head, HttpHeaders to) {
        mCodec.writeForwardedHeaders(from, head, to);
    }

    @Override
    public Optional<String> readRequestId(HttpHeaders headers) {
        return mCodec.readRequestId(headers);
    }

    @Override
    public ResponseHead readResponseHead(HttpResponse response) {
        return mCodec.readResponseHead(response);
    }

    @Override
    public void writeResponseHeaders(HttpResponse from, HttpHeaders to) {
        mCodec.writeResponseHeaders(from, to);
    }

    @Override
    public void writeLocalHeaders(String requestId, long retryAfterMillis, HttpHeaders to) {
        mCodec.writeLocalHeaders(requestId, retryAfterMillis, to);
    }
}

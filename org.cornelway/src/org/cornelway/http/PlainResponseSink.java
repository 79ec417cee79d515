package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.exchange.Outcome;

/**
 * Collects the response of a plain service and sends it to the caller in one piece. Called by one
 * thread at a time.
 */
final class PlainResponseSink extends ResponseSink {
    private Buffer mBody = Buffer.buffer();

    PlainResponseSink(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void onChunk(byte[] data) {
        mBody.appendBytes(data);
    }

    @Override
    public boolean canReset() {
        return true;
    }

    @Override
    public void reset() {
        mBody = Buffer.buffer();
    }

    @Override
    public void onEnd(Outcome outcome) {
        if (!isSuccess(outcome)) {
            sendError(outcome);
            return;
        }
        if (isClosed()) {
            return;
        }
        setHead(outcome.httpStatus(), outcome.contentType());
        response()
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(outcome.code().number()))
                .end(mBody);
    }
}

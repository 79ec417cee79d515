package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.exchange.Outcome;

/** Passes a plain service's whole answer on. Called by one thread at a time. */
final class PlainResponseSink extends ResponseSink {
    private Buffer mBody = Buffer.buffer();

    PlainResponseSink(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void chunk(byte[] data) {
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
    public void end(Outcome ending) {
        if (!isSuccess(ending)) {
            sendError(ending);
            return;
        }
        if (isClosed()) {
            return;
        }
        writeHead(ending.httpStatus(), ending.contentType());
        response()
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(ending.code().number()))
                .end(mBody);
    }
}

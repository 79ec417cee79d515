package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.exchange.Ending;

/** Passes a plain service's whole answer on. Called by one thread at a time. */
final class PlainSink extends ResponseSink {
    private Buffer mBody = Buffer.buffer();

    PlainSink(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void chunk(byte[] data) {
        mBody.appendBytes(data);
    }

    @Override
    public boolean canRestart() {
        return true;
    }

    @Override
    public void restart() {
        mBody = Buffer.buffer();
    }

    @Override
    public void end(Ending ending) {
        if (!isDone(ending)) {
            refuse(ending);
            return;
        }
        if (isGone()) {
            return;
        }
        begin(ending.httpStatus(), ending.contentType());
        response()
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(ending.code().number()))
                .end(mBody);
    }
}

package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.exchange.Outcome;

/** Passes a completion's events on as they come. Called by one thread at a time. */
final class StreamedCompletionSink extends ResponseSink {
    private static final String DATA = "data: ";
    private static final String END_OF_EVENT = "\n\n";

    private boolean mBegun;

    StreamedCompletionSink(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void chunk(byte[] data) {
        if (isClosed()) {
            return;
        }
        if (!mBegun) {
            mBegun = true;
            writeHead(200, "text/event-stream");
            response().setChunked(true);
        }
        write(Buffer.buffer(data));
    }

    @Override
    public boolean canReset() {
        return !mBegun;
    }

    @Override
    public void reset() {
        // Nothing was written yet.
    }

    private void write(Buffer data) {
        response().write(Buffer.buffer(DATA).appendBuffer(data).appendString(END_OF_EVENT));
    }

    @Override
    public void end(Outcome ending) {
        if (!mBegun && !isSuccess(ending)) {
            sendError(ending);
            return;
        }
        if (isClosed()) {
            return;
        }
        if (isSuccess(ending)) {
            response().end(DATA + "[DONE]" + END_OF_EVENT);
        } else {
            write(errorBody(ending));
            response().end();
        }
    }
}

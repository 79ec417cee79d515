package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.exchange.Outcome;

/**
 * Forwards the events of a completion as server-sent events as they arrive. Called by one thread at
 * a time.
 */
final class StreamedCompletionSink extends ResponseSink {
    private static final String DATA = "data: ";
    private static final String END_OF_EVENT = "\n\n";

    private boolean mHeadWritten;

    StreamedCompletionSink(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void onChunk(byte[] data) {
        if (isClosed()) {
            return;
        }
        if (!mHeadWritten) {
            mHeadWritten = true;
            setHead(200, "text/event-stream");
            response().setChunked(true);
        }
        writeEvent(Buffer.buffer(data));
    }

    @Override
    public boolean canReset() {
        return !mHeadWritten;
    }

    @Override
    public void reset() {
        // Nothing to discard: canReset() allows this only before anything was written.
    }

    private void writeEvent(Buffer data) {
        response().write(Buffer.buffer(DATA).appendBuffer(data).appendString(END_OF_EVENT));
    }

    @Override
    public void onEnd(Outcome outcome) {
        if (!mHeadWritten && !isSuccess(outcome)) {
            sendError(outcome);
            return;
        }
        if (isClosed()) {
            return;
        }
        if (isSuccess(outcome)) {
            response().end(DATA + "[DONE]" + END_OF_EVENT);
        } else {
            writeEvent(errorBody(outcome));
            response().end();
        }
    }
}

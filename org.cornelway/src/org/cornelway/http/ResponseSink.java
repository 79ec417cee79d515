package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.config.Json;
import org.cornelway.entry.CallerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;

/**
 * Writes an answer to one HTTP response.
 *
 * <p>Called by one thread at a time. Nothing is written after the caller went away.
 */
abstract class ResponseSink implements CallerSink {
    private final HttpServerResponse mResponse;
    private final String mRequestId;

    ResponseSink(HttpServerResponse response, String requestId) {
        mResponse = response;
        mRequestId = requestId;
    }

    final HttpServerResponse response() {
        return mResponse;
    }

    final boolean isClosed() {
        return mResponse.closed() || mResponse.ended();
    }

    /** Starts an answer whose result is known to be good so far. */
    final void writeHead(int status, String contentType) {
        mResponse
                .setStatusCode(status)
                .putHeader("Content-Type", contentType)
                .putHeader(HttpHeaders.REQUEST_ID, mRequestId);
    }

    /** Answers with a refusal. */
    final void sendError(Outcome ending) {
        if (isClosed()) {
            return;
        }
        writeHead(ending.code().httpStatus(), "application/json");
        mResponse
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(ending.code().number()))
                .end(errorBody(ending));
    }

    final Buffer errorBody(Outcome ending) {
        return Buffer.buffer(Json.write(ErrorBody.of(ending.code(), ending.message(), mRequestId)));
    }

    final boolean isSuccess(Outcome ending) {
        return ending.code().executionState() == ResultCode.ExecutionState.DONE;
    }
}

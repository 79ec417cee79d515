package org.cornelway.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.cornelway.config.Json;
import org.cornelway.entry.CallerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;

/**
 * Base class of the sinks that write an answer to one HTTP response.
 *
 * <p>Called by one thread at a time. Nothing is written after the caller has disconnected.
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

    /** Whether the response has ended or the caller has disconnected. */
    final boolean isClosed() {
        return mResponse.closed() || mResponse.ended();
    }

    /** Sets the status and the headers that all responses have. */
    final void setHead(int status, String contentType) {
        mResponse
                .setStatusCode(status)
                .putHeader("Content-Type", contentType)
                .putHeader(HttpHeaders.REQUEST_ID, mRequestId);
    }

    /** Sends an error response, unless the response has ended or the caller has disconnected. */
    final void sendError(Outcome outcome) {
        if (isClosed()) {
            return;
        }
        setHead(outcome.code().httpStatus(), "application/json");
        mResponse
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(outcome.code().number()))
                .end(errorBody(outcome));
    }

    final Buffer errorBody(Outcome outcome) {
        return Buffer.buffer(
                Json.write(ErrorBody.of(outcome.code(), outcome.message(), mRequestId)));
    }

    final boolean isSuccess(Outcome outcome) {
        return outcome.code().executionState() == ResultCode.ExecutionState.DONE;
    }
}

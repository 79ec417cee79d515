package org.cornelway.exchange;

import org.cornelway.result.ResultCode;

/**
 * The outcome of an exchange. Immutable.
 *
 * @param chunkCount number of chunks of the complete answer
 * @param code result code
 * @param message description of the failure; empty on success
 * @param httpStatus HTTP status for the caller
 * @param contentType media type of the answer
 */
public record Outcome(
        long chunkCount, ResultCode code, String message, int httpStatus, String contentType) {
    /** Returns the outcome of a request that failed without an answer. */
    public static Outcome failed(ResultCode code, String message) {
        return new Outcome(0, code, message, code.httpStatus(), "application/json");
    }
}

package org.cornelway.exchange;

import org.cornelway.result.ResultCode;

/**
 * How an exchange ended. Immutable.
 *
 * @param chunkCount chunks of the whole answer
 * @param code result code
 * @param message what happened, empty on success
 * @param httpStatus HTTP status for the caller
 * @param contentType media type of the answer
 */
public record Outcome(
        long chunkCount, ResultCode code, String message, int httpStatus, String contentType) {
    /** An ending without an answer. */
    public static Outcome refused(ResultCode code, String message) {
        return new Outcome(0, code, message, code.httpStatus(), "application/json");
    }
}

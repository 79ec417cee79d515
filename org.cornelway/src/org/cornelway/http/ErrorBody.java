package org.cornelway.http;

import org.cornelway.result.ResultCode;

/**
 * The JSON body of a refusal. Immutable.
 *
 * @param error what went wrong
 */
public record ErrorBody(Details error) {
    /** What went wrong. */
    public record Details(
            int code, String type, String message, boolean notRun, String requestId) {}

    /** Makes the body of a refusal. */
    public static ErrorBody of(ResultCode code, String message, String requestId) {
        boolean notRun = code.executionState() == ResultCode.ExecutionState.NOT_RUN;
        return new ErrorBody(new Details(code.number(), code.name(), message, notRun, requestId));
    }
}

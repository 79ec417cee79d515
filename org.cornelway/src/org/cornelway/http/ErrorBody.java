package org.cornelway.http;

import org.cornelway.result.ResultCode;

/**
 * JSON body of an error response. Immutable.
 *
 * @param error details of the error
 */
public record ErrorBody(Details error) {
    /**
     * Details of the error. Immutable.
     *
     * @param code number of the result code
     * @param type name of the result code
     * @param message description of what happened
     * @param notRun whether it is certain that the request did not run
     * @param requestId id of the request, or empty
     */
    public record Details(
            int code, String type, String message, boolean notRun, String requestId) {}

    /** Creates the body for a result code. */
    public static ErrorBody of(ResultCode code, String message, String requestId) {
        boolean notRun = code.executionState() == ResultCode.ExecutionState.NOT_RUN;
        return new ErrorBody(new Details(code.number(), code.name(), message, notRun, requestId));
    }
}

package org.cornelway.http;

import org.cornelway.result.ResultCode;

/**
 * The JSON body of a refusal. Immutable.
 *
 * @param error what went wrong
 */
record ErrorBody(Details error) {
    /** What went wrong. */
    record Details(int code, String type, String message, boolean notRun, String requestId) {}

    static ErrorBody of(ResultCode code, String message, String requestId) {
        boolean notRun = code.certainty() == ResultCode.Certainty.NOT_RUN;
        return new ErrorBody(new Details(code.number(), code.name(), message, notRun, requestId));
    }
}

package org.cornelway.entry;

import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;

/** Decides with which outcome a request without a complete answer ends. Stateless. */
final class FailurePolicy {
    private FailurePolicy() {}

    /**
     * Replaces a "not run" outcome of the last attempt, since an earlier one may have run.
     *
     * @param repeatable whether the request may be repeated
     */
    static Outcome withoutNotRun(Outcome outcome, boolean repeatable) {
        if (outcome.code().executionState() != ResultCode.ExecutionState.NOT_RUN) {
            return outcome;
        }
        ResultCode code = repeatable ? ResultCode.BACKEND_FAILED : ResultCode.OUTCOME_UNKNOWN;
        return Outcome.failed(code, "an earlier try may have run; then: " + outcome.message());
    }

    /**
     * Returns the outcome after an unexpected error.
     *
     * @param attempts number of attempts so far, whether or not they have ended
     * @param chunkDelivered whether the caller has a part of the answer
     */
    static Outcome afterError(RuntimeException error, int attempts, boolean chunkDelivered) {
        ResultCode code = ResultCode.OUTCOME_UNKNOWN;
        if (chunkDelivered) {
            code = ResultCode.ANSWER_INCOMPLETE;
        } else if (attempts == 0) {
            code = ResultCode.FAILED_BEFORE_RUN;
        }
        return Outcome.failed(code, "unexpected error: " + error);
    }
}

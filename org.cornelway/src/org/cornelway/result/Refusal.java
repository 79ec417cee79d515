package org.cornelway.result;

/**
 * Why a request ended without its answer.
 *
 * <p>Invariant: {@link NotRun} is made only where the work was never handed on or its withdrawal
 * was confirmed. Immutable.
 */
public sealed interface Refusal {
    /** The numbered code. */
    ResultCode code();

    /** What happened, naming the thing, the number and the limit. */
    String message();

    /** The work did not run and never will under this request id. */
    record NotRun(ResultCode code, String message) implements Refusal {
        /** Checks that the code states that the work did not run. */
        public NotRun {
            if (code.executionState() != ResultCode.ExecutionState.NOT_RUN) {
                throw new IllegalArgumentException(code + " does not say 'not run'");
            }
        }
    }

    /** The work may have run, wholly or in part. */
    record Unknown(ResultCode code, String message) implements Refusal {
        /** Checks that the code leaves the outcome open. */
        public Unknown {
            if (code.executionState() != ResultCode.ExecutionState.UNKNOWN) {
                throw new IllegalArgumentException(code + " does not say 'unknown'");
            }
        }
    }

    /** Makes the refusal whose type fits the code. */
    static Refusal of(ResultCode code, String message) {
        return code.executionState() == ResultCode.ExecutionState.NOT_RUN
                ? new NotRun(code, message)
                : new Unknown(code, message);
    }
}

package org.cornelway.result;

/**
 * Reason why a request ended without an answer.
 *
 * <p>Invariant: {@link NotRun} is created only if the request was never passed on or its withdrawal
 * was confirmed. Immutable.
 */
public sealed interface Refusal {
    /** Returns the result code. */
    ResultCode code();

    /**
     * Returns a description of what happened, with the affected item, the actual value and the
     * limit.
     */
    String message();

    /** The request did not run and never will under this request id. */
    record NotRun(ResultCode code, String message) implements Refusal {
        /** Checks that the code states that the request did not run. */
        public NotRun {
            if (code.executionState() != ResultCode.ExecutionState.NOT_RUN) {
                throw new IllegalArgumentException(
                        code + " does not state that the request did not run");
            }
        }
    }

    /** The request may have run, completely or in part. */
    record Unknown(ResultCode code, String message) implements Refusal {
        /** Checks that the code states that the outcome is unknown. */
        public Unknown {
            if (code.executionState() != ResultCode.ExecutionState.UNKNOWN) {
                throw new IllegalArgumentException(
                        code + " does not state that the outcome is unknown");
            }
        }
    }

    /** Creates a refusal of the type that matches the code. */
    static Refusal of(ResultCode code, String message) {
        return code.executionState() == ResultCode.ExecutionState.NOT_RUN
                ? new NotRun(code, message)
                : new Unknown(code, message);
    }
}

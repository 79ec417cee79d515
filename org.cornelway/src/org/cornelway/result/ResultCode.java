package org.cornelway.result;

import java.util.Optional;

/**
 * Numbered result codes returned to callers and operators; docs/RESULT-CODES.md lists them.
 *
 * <p>Invariant: numbers are unique and never reused. Immutable.
 */
public enum ResultCode {
    OK(0, 200, ExecutionState.DONE, "The work was done and the answer is complete."),
    BAD_REQUEST(
            100,
            400,
            ExecutionState.NOT_RUN,
            "The request is malformed; the message names the field."),
    UNKNOWN_MODEL(101, 404, ExecutionState.NOT_RUN, "The preset in force has no such model."),
    UNKNOWN_ADAPTER(
            102,
            404,
            ExecutionState.NOT_RUN,
            "The preset in force has no such adapter for the model."),
    UNKNOWN_SERVICE(103, 404, ExecutionState.NOT_RUN, "The preset in force has no such service."),
    UNAUTHENTICATED(
            104,
            401,
            ExecutionState.NOT_RUN,
            "The team key or operator token is missing or wrong."),
    TEAM_FORBIDDEN(
            105, 403, ExecutionState.NOT_RUN, "The team may not call this model or service."),
    KEY_REUSED(
            106,
            422,
            ExecutionState.NOT_RUN,
            "The idempotency key was used before for another request."),
    UNKNOWN_KEY(
            107,
            401,
            ExecutionState.NOT_RUN,
            "The customer's key is missing, malformed or unknown."),
    QUEUE_FULL(200, 503, ExecutionState.NOT_RUN, "Too many requests are waiting."),
    DEADLINE_PASSED(
            201, 504, ExecutionState.NOT_RUN, "The deadline passed before the work started."),
    AGENT_LEAVING(
            202,
            503,
            ExecutionState.NOT_RUN,
            "The backend server is leaving and takes no new work."),
    NO_REPLICA(
            203,
            503,
            ExecutionState.NOT_RUN,
            "No live backend server may hold the model or runs the service."),
    MEMORY_FULL(
            204,
            503,
            ExecutionState.NOT_RUN,
            "The model does not fit beside work that is running."),
    NOT_DURABLE(
            205,
            503,
            ExecutionState.NOT_RUN,
            "The intent could not be recorded, so the call was not sent."),
    DEADLINE_INFEASIBLE(
            206,
            503,
            ExecutionState.NOT_RUN,
            "The deadline cannot be met behind the requests that are waiting."),
    TEAM_LIMIT(207, 429, ExecutionState.NOT_RUN, "The team has too many requests waiting."),
    NOT_CONFIGURED(208, 503, ExecutionState.NOT_RUN, "No preset is in force yet."),
    WITHDRAWN(209, 499, ExecutionState.NOT_RUN, "The request was withdrawn before it started."),
    SLOT_NOT_HELD(
            210, 503, ExecutionState.NOT_RUN, "The backend server holds no slot of the model."),
    PROMPT_BLOCKED(
            211,
            503,
            ExecutionState.NOT_RUN,
            "A part of the prompt has crashed backend servers; calls with it are not sent now."),
    FAILED_BEFORE_RUN(
            212, 503, ExecutionState.NOT_RUN, "An internal fault ended the call before it ran."),
    QUOTA_EXCEEDED(
            213,
            429,
            ExecutionState.NOT_RUN,
            "The customer's quota has no tokens for the call now."),
    OUTCOME_UNKNOWN(
            300,
            502,
            ExecutionState.UNKNOWN,
            "The call may or may not have run; it is not run again."),
    ANSWER_INCOMPLETE(
            301,
            502,
            ExecutionState.UNKNOWN,
            "The answer ended early; the part received is incomplete."),
    DEADLINE_PASSED_RUNNING(
            302, 504, ExecutionState.UNKNOWN, "The deadline passed while the work was running."),
    ANSWER_NOT_RETAINED(
            303,
            200,
            ExecutionState.DONE,
            "The call ran once before; its answer was too large to keep."),
    BACKEND_FAILED(
            400, 502, ExecutionState.UNKNOWN, "The backend server failed while running the work."),
    REVISION_CONFLICT(
            500,
            409,
            ExecutionState.NOT_RUN,
            "Another change was accepted first; the message names it."),
    INVALID_PRESET(
            501,
            422,
            ExecutionState.NOT_RUN,
            "The preset is invalid; the message lists all faults."),
    UNKNOWN_PRESET(502, 404, ExecutionState.NOT_RUN, "No such preset is stored."),
    STORE_UNAVAILABLE(
            503,
            503,
            ExecutionState.NOT_RUN,
            "The key-value service is unavailable; nothing was changed."),
    CHANGE_UNKNOWN(
            504,
            504,
            ExecutionState.UNKNOWN,
            "The change may or may not have been accepted; read it back."),
    INTERNAL(600, 500, ExecutionState.UNKNOWN, "An internal fault; the log has the request id."),
    UNKNOWN_EXCHANGE(601, 404, ExecutionState.UNKNOWN, "The agent does not know the request id.");

    /** What a code states about whether the request ran. */
    public enum ExecutionState {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    private final int mNumber;
    private final int mHttpStatus;
    private final ExecutionState mExecutionState;
    private final String mDescription;

    ResultCode(int number, int httpStatus, ExecutionState executionState, String description) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mExecutionState = executionState;
        mDescription = description;
    }

    /** Returns the number reported to callers. */
    public int number() {
        return mNumber;
    }

    /** Returns the HTTP status that belongs to the code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns what the code states about whether the request ran. */
    public ExecutionState executionState() {
        return mExecutionState;
    }

    /** Returns a one-sentence description for callers and for the table in the docs. */
    public String description() {
        return mDescription;
    }

    /** Returns the code with a number, or empty if there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.mNumber == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }
}

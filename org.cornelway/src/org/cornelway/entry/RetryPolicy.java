package org.cornelway.entry;

import java.util.Set;
import org.cornelway.result.ResultCode;

/**
 * Decides whether a request that an agent refused is sent to another agent. Stateless and
 * thread-safe.
 */
final class RetryPolicy {
    private static final int MAX_OVERLOAD_REFUSALS = 2;
    private static final Set<ResultCode> AGENT_UNSUITABLE =
            Set.of(ResultCode.AGENT_LEAVING, ResultCode.SLOT_NOT_HELD, ResultCode.NO_REPLICA);
    private static final Set<ResultCode> AGENT_OVERLOADED =
            Set.of(ResultCode.QUEUE_FULL, ResultCode.DEADLINE_INFEASIBLE, ResultCode.MEMORY_FULL);

    private RetryPolicy() {}

    /**
     * Returns whether to send a request to another agent after an agent refused it without running
     * it.
     *
     * @param code the code of the refusal
     * @param refusals number of refusals of this request so far, including this one
     */
    static boolean shouldTryAnotherAgent(ResultCode code, int refusals) {
        return AGENT_UNSUITABLE.contains(code)
                || (AGENT_OVERLOADED.contains(code) && refusals <= MAX_OVERLOAD_REFUSALS);
    }
}

package org.cornelway.entry;

import java.util.Set;
import org.cornelway.result.ResultCode;

/** Says which refusals are worth another agent. Stateless and thread-safe. */
final class RetryPolicy {
    private static final int MAX_BUSY_REFUSALS = 2;
    private static final Set<ResultCode> ELSEWHERE =
            Set.of(ResultCode.AGENT_LEAVING, ResultCode.SLOT_NOT_HELD, ResultCode.NO_REPLICA);
    private static final Set<ResultCode> BUSY =
            Set.of(ResultCode.QUEUE_FULL, ResultCode.DEADLINE_INFEASIBLE, ResultCode.MEMORY_FULL);

    private RetryPolicy() {}

    /**
     * Whether to try another agent after a refusal that says "not run".
     *
     * @param refusals refusals of this request so far, this one included
     */
    static boolean shouldTryAnotherAgent(ResultCode code, int refusals) {
        return ELSEWHERE.contains(code) || (BUSY.contains(code) && refusals <= MAX_BUSY_REFUSALS);
    }
}

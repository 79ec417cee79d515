package org.cornelway.agent;

import java.util.List;
import org.cornelway.residency.ModelStatus;
import org.cornelway.result.ResultCode;

/** Queues and runs requests on one kind of backend server. Confined to the control thread. */
public interface WorkHandler {
    /** Accepts a request. The handler ends the request's exchange during this call or later. */
    void accept(AgentExchange exchange);

    /** Removes a waiting request; returns true if it was removed and can no longer start. */
    boolean withdraw(AgentExchange exchange);

    /**
     * Ends all waiting requests without running them.
     *
     * @param code result code whose execution state is {@link ResultCode.ExecutionState#NOT_RUN}
     * @param message message of the outcomes
     */
    void refuseWaiting(ResultCode code, String message);

    /** Performs the periodic tasks, such as ending requests whose deadline has passed. */
    void tick();

    /** Returns the number of requests that are running. */
    int runningCount();

    /** Returns the number of requests that are waiting. */
    int waitingCount();

    /** Returns the largest number of requests that run at the same time. */
    int capacity();

    /**
     * Returns the earliest deadline of the waiting requests in milliseconds since the epoch, 0 if
     * none is waiting.
     */
    long earliestDeadlineMillis();

    /** Returns whether the model of a request is loaded; always true for a plain service. */
    boolean isModelLoaded(AgentExchange exchange);

    /** Returns the models that hold memory in the engine; none for a plain service. */
    List<ModelStatus> heldModels();
}

package org.cornelway.agent;

import java.util.List;
import org.cornelway.residency.ModelStatus;
import org.cornelway.result.ResultCode;

/** Runs requests on one kind of backend server. Confined to the control thread. */
public interface WorkHandler {
    /** Takes a request; it ends through its exchange, at once or later. */
    void accept(AgentExchange exchange);

    /** Takes a waiting request out; true if it can never start now. */
    boolean withdraw(AgentExchange exchange);

    /** Ends all waiting requests with a code that says "not run". */
    void refuseWaiting(ResultCode code, String message);

    /** Does what has become due. */
    void tick();

    /** Number of requests running. */
    int active();

    /** Number of requests waiting. */
    int waiting();

    /** Requests that run at once. */
    int capacity();

    /** Earliest deadline of waiting work in milliseconds since the epoch, 0 if none waits. */
    long oldestDeadlineMillis();

    /** Whether the model that a request asks for is loaded; true for a plain service. */
    boolean isModelLoaded(AgentExchange exchange);

    /** Models held, none for a plain service. */
    List<ModelStatus> heldModels();
}

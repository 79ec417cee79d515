package org.cornelway.routing;

import java.util.Optional;
import java.util.Set;
import org.cornelway.platform.Member;

/** Chooses the agent for a request. Implementations are thread-safe. */
public interface AgentChooser {
    /**
     * Chooses an agent.
     *
     * @param target the model or plain service that the request is for
     * @param excluded ids of agents that have already refused or failed this request
     * @return the chosen agent; empty if all agents for the target are excluded, or there are none
     */
    Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded);
}

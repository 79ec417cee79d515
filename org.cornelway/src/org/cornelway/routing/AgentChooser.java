package org.cornelway.routing;

import java.util.Optional;
import java.util.Set;
import org.cornelway.platform.Member;

/** Chooses the agent for a request. Implementations are thread-safe. */
public interface AgentChooser {
    /**
     * Chooses an agent.
     *
     * @param excluded ids of agents that have already refused or failed this request
     * @return the agent, or empty if none is left
     */
    Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded);
}

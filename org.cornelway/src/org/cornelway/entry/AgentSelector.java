package org.cornelway.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cornelway.platform.Member;

/**
 * Selects the agent that one request is submitted to, and grants another submission after one that
 * may have run. Confined to the worker of its exchange; lives as long as it.
 */
final class AgentSelector {
    private final EntryRequest mRequest;
    private final EntryContext mContext;

    /** Ids of the agents that have refused or failed the request. */
    private final Set<String> mExcludedAgents = new HashSet<>();

    AgentSelector(EntryRequest request, EntryContext context) {
        mRequest = request;
        mContext = context;
    }

    /** Records an agent that has refused or failed the request. */
    void exclude(Member agent) {
        mExcludedAgents.add(agent.id());
    }

    /** Returns an agent that is not excluded; if there is none, excludes no agent any longer. */
    Optional<Member> choose() {
        Optional<Member> agent = choose(mExcludedAgents);
        if (agent.isEmpty()) {
            mExcludedAgents.clear();
        }
        return agent;
    }

    private Optional<Member> choose(Set<String> excluded) {
        return mContext.chooser()
                .choose(mRequest.target(), mContext.view().get(), mContext.loads(), excluded);
    }

    /** Takes a retry from the budget if the request needs one; returns false if there is none. */
    boolean tryAcquireRetry() {
        return mRequest.deduplicated() || mContext.retryBudget().tryAcquire();
    }

    /**
     * Whether another agent can be asked to run the request now. If so, a retry was taken from the
     * budget.
     *
     * @param silent agent that may still run the request
     */
    boolean tryAcquireAlternative(Member silent) {
        Set<String> excluded = new HashSet<>(mExcludedAgents);
        excluded.add(silent.id());
        return choose(excluded).isPresent() && tryAcquireRetry();
    }
}

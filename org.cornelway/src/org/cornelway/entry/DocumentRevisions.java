package org.cornelway.entry;

import org.cornelway.platform.Member;
import org.cornelway.rpc.AgentLoad;

/**
 * The revisions of the configuration and placement documents that this entry holds. Implementations
 * are thread-safe.
 */
public interface DocumentRevisions {
    /** Returns the revision of the configuration that this entry holds; 0 if it holds none. */
    long configurationRevision();

    /** Returns the revision of the placement that this entry holds; 0 if it holds none. */
    long placementRevision();

    /**
     * Receives an agent's load report, whose document revisions may be newer than those held here.
     */
    void onAgentLoad(Member agent, AgentLoad load);
}

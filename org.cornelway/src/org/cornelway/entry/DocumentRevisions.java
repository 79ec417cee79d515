package org.cornelway.entry;

import org.cornelway.platform.Member;
import org.cornelway.rpc.AgentLoad;

/** Tells what revisions this entry has, and learns of newer ones. Thread-safe. */
public interface DocumentRevisions {
    /** Revision of the configuration held. */
    long configurationRevision();

    /** Revision of the placement held. */
    long placementRevision();

    /** Learns what an agent holds. */
    void onAgentLoad(Member agent, AgentLoad load);
}

package org.cornelway.bench.soak;

import org.cornelway.entry.DocumentRevisions;
import org.cornelway.platform.Member;
import org.cornelway.rpc.AgentLoad;

/** Document revisions of an entry that holds no documents. Stateless and thread-safe. */
public final class EmptyDocumentRevisions implements DocumentRevisions {
    @Override
    public long configurationRevision() {
        return 0;
    }

    @Override
    public long placementRevision() {
        return 0;
    }

    @Override
    public void onAgentLoad(Member agent, AgentLoad load) {}
}

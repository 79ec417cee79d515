package org.cornelway.bench.soak;

import org.cornelway.entry.RevisionHints;
import org.cornelway.platform.Member;
import org.cornelway.rpc.AgentLoad;

/** Knows of no documents. Stateless and thread-safe. */
public final class NoHints implements RevisionHints {
    @Override
    public long configurationRevision() {
        return 0;
    }

    @Override
    public long placementRevision() {
        return 0;
    }

    @Override
    public void seen(Member agent, AgentLoad load) {}
}

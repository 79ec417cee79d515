package org.cornelway.overload;

import java.util.List;

/** Decides whether a call is sent, waits or is refused. Implementations are pure. */
public interface OverloadPolicy {
    /**
     * Decides about a call that has not been sent.
     *
     * @param call the call; it is not in {@code waiting}
     * @param state the servers that can take it
     * @param waiting the calls of the same service that wait here
     */
    Decision decide(
            PendingCall call, ServiceState state, List<PendingCall> waiting, long nowMillis);
}

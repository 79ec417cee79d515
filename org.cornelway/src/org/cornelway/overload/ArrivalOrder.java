package org.cornelway.overload;

import java.util.List;
import org.cornelway.dispatch.EngineQueuePolicy;

/**
 * Sends calls in order of arrival with the engine priority of their route. Refuses a call for a
 * model if the queues are so long that its caller would probably abandon it.
 *
 * <p>The baseline, and the policy of configurations without customers and with short objectives
 * only. Pure and thread-safe.
 */
public final class ArrivalOrder implements OverloadPolicy {
    @Override
    public Decision decide(
            PendingCall call, ServiceState state, List<PendingCall> waiting, long nowMillis) {
        long limit = EngineQueuePolicy.longestWaitMillis(call.end().remainingMillis(nowMillis));
        if (call.isForModel() && state.queueMillis() > limit) {
            return new Decision.Refuse(
                    "an engine would need " + state.queueMillis() + " ms",
                    state.queueMillis(),
                    limit,
                    state.queueMillis());
        }
        return new Decision.Send(EnginePriority.of(call.priority()));
    }
}

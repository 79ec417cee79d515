package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.directory.ServerRecord;

/**
 * Reads the reports of model engines and sends orders to them, directly and not through an agent.
 * Thread-safe; each call ends within a bounded time.
 */
public interface EngineControl {
    /** Reads an engine's report on its own state. */
    Single<EngineReport> report(ServerRecord server);

    /**
     * Sends an order if the permit is valid when the order is written to the connection. Never
     * fails: a failure is returned as a reply.
     */
    Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit);
}

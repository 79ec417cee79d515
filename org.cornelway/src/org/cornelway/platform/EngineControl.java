package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.directory.ServerRecord;

/** Reads and orders model engines directly. Thread-safe; each call ends within a bounded time. */
public interface EngineControl {
    /** What an engine says of itself. */
    Single<EngineReport> report(ServerRecord server);

    /** Sends an order; never fails, failures are replies. */
    Single<OrderReply> order(ServerRecord server, ServerOrder order);
}

package org.cornelway.role;

import org.cornelway.intent.IntentSettings;
import org.cornelway.internal.platform.HttpEndpoint;

/**
 * Validated settings of an agent. Immutable.
 *
 * @param common settings that agents have in common with the entries that call them
 * @param kind {@code model} or {@code plain}
 * @param service name of the plain service, empty for a model engine
 * @param backendServer address of the backend server
 * @param concurrency maximum number of requests that run at the same time
 * @param maxWaiting maximum number of requests in the queue
 * @param orderTimeoutMillis time after which the outcome of an engine order counts as unknown
 * @param callTimeoutMillis time after which the outcome of a call to a plain service counts as
 *     unknown
 * @param engineChecksFencing whether the engine rejects orders with an older fencing number
 * @param urgentMillis time before its deadline at which a deferred request becomes urgent
 * @param intents settings of the intent log
 */
public record AgentSettings(
        CommonSettings common,
        String kind,
        String service,
        HttpEndpoint backendServer,
        int concurrency,
        int maxWaiting,
        long orderTimeoutMillis,
        long callTimeoutMillis,
        boolean engineChecksFencing,
        long urgentMillis,
        IntentSettings intents) {}

package org.cornelway.role;

import org.cornelway.intent.IntentSettings;
import org.cornelway.internal.platform.HttpEndpoint;

/**
 * Settings of an agent, checked. Immutable.
 *
 * @param common settings of every role
 * @param kind {@code model} or {@code plain}
 * @param service name of the plain service, empty for a model engine
 * @param backendServer address of the backend server
 * @param concurrency requests that run at once
 * @param maxWaiting requests that wait at most
 * @param orderTimeoutMillis time after which an engine order counts as unsettled
 * @param callTimeoutMillis time after which a plain call's outcome counts as unknown
 * @param engineChecksFencing whether the engine refuses old fencing numbers
 * @param urgentMillis time before its deadline from which deferred work is urgent
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

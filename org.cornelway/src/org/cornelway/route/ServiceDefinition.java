package org.cornelway.route;

import java.util.Optional;

/**
 * A service that routes send calls to. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that each backend server accepts from all callers together
 * @param engine present if the backend servers are model engines
 */
public record ServiceDefinition(
        String name, int maxConnections, Optional<EngineDefinition> engine) {}

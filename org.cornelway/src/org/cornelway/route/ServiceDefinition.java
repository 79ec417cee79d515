package org.cornelway.route;

import java.util.Optional;

/**
 * A service that routes lead to. Immutable.
 *
 * @param name the service
 * @param maxConnections connections that each backend server takes from all callers together
 * @param engine present where the backend servers are model engines
 */
public record ServiceDefinition(
        String name, int maxConnections, Optional<EngineDefinition> engine) {}

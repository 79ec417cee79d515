package org.cornelway.route;

import java.util.List;
import java.util.Map;

/**
 * The operator's configuration in force. Immutable.
 *
 * @param version version as the operator counts it; rises in uneven steps
 * @param routes all routes
 * @param services all services by name
 * @param limits bounds on callers
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        Map<String, ServiceDefinition> services,
        CallerLimits limits) {}

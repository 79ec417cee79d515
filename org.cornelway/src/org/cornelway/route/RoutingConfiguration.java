package org.cornelway.route;

import java.util.List;
import java.util.Map;

/**
 * The configuration in force, as set by the operator. Immutable.
 *
 * @param version version number assigned by the operator; it increases, but not always by one
 * @param routes all routes
 * @param services all services by name
 * @param limits limits on what callers may send
 * @param customers customers whose calls are accepted; if there are none, calls need no key
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        Map<String, ServiceDefinition> services,
        CallerLimits limits,
        List<Customer> customers) {}

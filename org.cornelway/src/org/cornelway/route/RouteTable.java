package org.cornelway.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a call by its host and the longest prefix of its path.
 *
 * <p>Immutable and thread-safe.
 */
public final class RouteTable {
    private final RoutingConfiguration mConfiguration;
    private final Map<String, List<Route>> mByHost = new HashMap<>();
    private final Map<CustomerKey, Customer> mByKey = new HashMap<>();

    /** Builds the table from a configuration. */
    public RouteTable(RoutingConfiguration configuration) {
        mConfiguration = configuration;
        for (Route route : configuration.routes()) {
            mByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> byLength = Comparator.comparingInt(route -> route.prefix().length());
        mByHost.values().forEach(routes -> routes.sort(byLength.reversed()));
        for (Customer customer : configuration.customers()) {
            customer.keys().forEach(key -> mByKey.put(key, customer));
        }
    }

    /** Returns the configuration that the table was built from. */
    public RoutingConfiguration configuration() {
        return mConfiguration;
    }

    /**
     * Finds the route of a call.
     *
     * @param host value of the Host header; its case and its port are ignored
     * @param target path and query as the caller sent them
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String target) {
        int colon = host.indexOf(':');
        String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (Route route : mByHost.getOrDefault(hostName, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Whether calls need a customer's key, except on public routes. */
    public boolean requiresKeys() {
        return !mConfiguration.customers().isEmpty();
    }

    /** Finds the customer that holds a key; empty if none does. */
    public Optional<Customer> customer(CustomerKey key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /** Finds a service by name; empty if the configuration has none of this name. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(mConfiguration.services().get(name));
    }
}

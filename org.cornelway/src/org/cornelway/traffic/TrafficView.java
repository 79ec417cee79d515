package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;

/**
 * The state that the control thread publishes to the traffic thread. Immutable.
 *
 * @param routes the routes in force; empty until a configuration is known
 * @param directory the backend servers
 * @param entryCount number of entry processes, among which the retry slack of each service is
 *     divided; at least 1
 */
public record TrafficView(
        Optional<RouteTable> routes, DirectorySnapshot directory, int entryCount) {
    /** Returns the initial view: no configuration and no servers. */
    public static TrafficView empty() {
        return new TrafficView(Optional.empty(), DirectorySnapshot.empty(), 1);
    }

    /** Returns the version of the configuration in force, or 0 if there is none. */
    public long configurationVersion() {
        return routes.map(table -> table.configuration().version()).orElse(0L);
    }

    /** Finds a route by name; empty if no configuration is known or it has no such route. */
    public Optional<Route> route(String name) {
        return routes.stream()
                .flatMap(table -> table.configuration().routes().stream())
                .filter(route -> route.name().equals(name))
                .findFirst();
    }

    /** Returns the limits on what callers may send; the defaults if no configuration is known. */
    public CallerLimits limits() {
        return routes.map(table -> table.configuration().limits()).orElse(CallerLimits.defaults());
    }
}

package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;

/**
 * What the control thread has decided that the traffic thread needs. Immutable.
 *
 * @param routes the routes in force; empty until a configuration is known
 * @param directory the backend servers
 * @param processes entries that share the bounds of the system; at least 1
 */
public record TrafficView(Optional<RouteTable> routes, DirectorySnapshot directory, int processes) {
    /** The view of a process that has heard nothing yet. */
    public static TrafficView empty() {
        return new TrafficView(Optional.empty(), DirectorySnapshot.empty(), 1);
    }

    /** Version of the configuration in force, 0 for none. */
    public long version() {
        return routes.map(table -> table.configuration().version()).orElse(0L);
    }

    /** A route by name. */
    public Optional<Route> route(String name) {
        return routes.stream()
                .flatMap(table -> table.configuration().routes().stream())
                .filter(route -> route.name().equals(name))
                .findFirst();
    }

    /** Bounds on callers. */
    public CallerLimits limits() {
        return routes.map(table -> table.configuration().limits()).orElse(CallerLimits.defaults());
    }
}

package org.cornelway.route;

/**
 * A service with its share of a route's calls. Immutable.
 *
 * @param service name of the service
 * @param weight share, relative to the sum of the route's weights; not negative
 */
public record WeightedService(String service, int weight) {}

package org.cornelway.routing;

/**
 * What a request is for. Immutable.
 *
 * @param model the model, empty for a plain service
 * @param service the plain service, empty for a model
 * @param affinityKey key whose requests should meet at one agent, or empty
 */
public record RoutingTarget(String model, String service, String affinityKey) {
    /** A request for a model. */
    public static RoutingTarget ofModel(String model) {
        return new RoutingTarget(model, "", "");
    }

    /** A request for a plain service. */
    public static RoutingTarget ofService(String service, String affinityKey) {
        return new RoutingTarget("", service, affinityKey);
    }

    /** Whether this is a request for a model. */
    public boolean isModel() {
        return !model.isEmpty();
    }
}

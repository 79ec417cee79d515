package org.cornelway.routing;

/**
 * The model or plain service that a request is for. Immutable.
 *
 * @param model name of the model; empty for a plain service
 * @param service name of the plain service; empty for a model
 * @param affinityKey requests with the same key go to the same agent if possible; may be empty
 */
public record RoutingTarget(String model, String service, String affinityKey) {
    /** Returns the target of a request for a model. */
    public static RoutingTarget ofModel(String model) {
        return new RoutingTarget(model, "", "");
    }

    /** Returns the target of a request for a plain service. */
    public static RoutingTarget ofService(String service, String affinityKey) {
        return new RoutingTarget("", service, affinityKey);
    }

    /** Whether this target is a model. */
    public boolean isModel() {
        return !model.isEmpty();
    }
}

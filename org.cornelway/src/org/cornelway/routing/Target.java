package org.cornelway.routing;

/**
 * What a request is for. Immutable.
 *
 * @param model the model, empty for a plain service
 * @param service the plain service, empty for a model
 * @param affinityKey key whose requests should meet at one agent, or empty
 */
public record Target(String model, String service, String affinityKey) {
    /** A request for a model. */
    public static Target ofModel(String model) {
        return new Target(model, "", "");
    }

    /** A request for a plain service. */
    public static Target ofService(String service, String affinityKey) {
        return new Target("", service, affinityKey);
    }

    /** Whether this is a request for a model. */
    public boolean isModel() {
        return !model.isEmpty();
    }
}

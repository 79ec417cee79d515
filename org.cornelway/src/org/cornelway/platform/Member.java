package org.cornelway.platform;

/**
 * An instance that runs a process of the system, from the platform's instance list or from the
 * registrations in the key-value service. Immutable.
 *
 * @param id unique id of the instance; an instance that replaces it has another id
 * @param role {@code entry} or {@code agent}
 * @param address host and port of the system's process on the instance
 * @param region the region
 * @param zone the availability zone
 * @param leaving whether the platform is removing the instance
 * @param kind for an agent, {@code model} or {@code plain}; otherwise empty
 * @param service for an agent of a plain service, the service's name; otherwise empty
 * @param memoryBytes for an agent of a model engine, the engine's memory in bytes; otherwise 0
 */
public record Member(
        String id,
        String role,
        String address,
        String region,
        String zone,
        boolean leaving,
        String kind,
        String service,
        long memoryBytes) {
    /** Value of {@code role} for an entry. */
    public static final String ROLE_ENTRY = "entry";

    /** Value of {@code role} for an agent. */
    public static final String ROLE_AGENT = "agent";

    /** Value of {@code kind} for the agent of a model engine. */
    public static final String KIND_MODEL = "model";

    /** Value of {@code kind} for the agent of a plain service. */
    public static final String KIND_PLAIN = "plain";

    /** Whether this is the agent of a model engine. */
    public boolean isModelAgent() {
        return ROLE_AGENT.equals(role) && KIND_MODEL.equals(kind);
    }

    /** Whether this is the agent of the plain service with the given name. */
    public boolean isAgentOf(String serviceName) {
        return ROLE_AGENT.equals(role) && KIND_PLAIN.equals(kind) && serviceName.equals(service);
    }
}

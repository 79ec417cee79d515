package org.cornelway.cluster;

/** Keys that the system and the platform keep in the key-value service. */
public final class ClusterKeys {
    /** The operator's configuration; only the platform writes it. */
    public static final String CONFIGURATION_PREFIX = "op/";

    public static final String CONFIGURATION = CONFIGURATION_PREFIX + "config";

    /** Announcements of backend servers, by id; only the platform writes them. */
    public static final String SERVERS_PREFIX = "servers/";

    /** The system's own keys. */
    public static final String SYSTEM_PREFIX = "cornelway/";

    /** One key an entry, under its lease. */
    public static final String MEMBERS_PREFIX = SYSTEM_PREFIX + "members/";

    /** The entry that orders the engines, under its lease. */
    public static final String CONTROLLER = SYSTEM_PREFIX + "controller/0";

    /** How often callers ask for each model, for the next controller; under no lease. */
    public static final String DEMAND = SYSTEM_PREFIX + "demand";

    private ClusterKeys() {}
}

package org.cornelway.cluster;

/**
 * Keys and key prefixes in the key-value service for entries that call backend servers directly.
 *
 * <p>Agents, and the entries that call them, use {@link org.cornelway.relay.DocumentKeys}.
 */
public final class ClusterKeys {
    /** Prefix of the operator's configuration; only the platform writes below it. */
    public static final String CONFIGURATION_PREFIX = "op/";

    /** Key of the operator's configuration. */
    public static final String CONFIGURATION = CONFIGURATION_PREFIX + "config";

    /**
     * Prefix of the announcements of backend servers, one key per server id; only the platform
     * writes them.
     */
    public static final String SERVERS_PREFIX = "servers/";

    /** Prefix of the keys that the system itself writes. */
    public static final String SYSTEM_PREFIX = "cornelway/";

    /**
     * Prefix of the registrations of the entries, one key per entry. Each key is bound to the lease
     * of the entry's process.
     */
    public static final String MEMBERS_PREFIX = SYSTEM_PREFIX + "members/";

    /**
     * Key of the registration of the entry that is the controller; bound to the lease of that
     * entry's process.
     */
    public static final String CONTROLLER = SYSTEM_PREFIX + "controller/0";

    /** Key of the number of entries that quotas are divided among; bound to no lease. */
    public static final String ENTRIES = SYSTEM_PREFIX + "entries";

    /**
     * Key of the request rates of the models, stored for the next controller; bound to no lease.
     * Not below {@link #SYSTEM_PREFIX}, since each write would wake all entries that follow it.
     */
    public static final String DEMAND = "cornelway-state/demand";

    /**
     * Key of the {@link TermRecord}; bound to no lease, since it tells of terms that have ended.
     * Not below {@link #SYSTEM_PREFIX}, since only candidates for controller read it.
     */
    public static final String TERMS = "cornelway-state/terms";

    private ClusterKeys() {}
}

package org.cornelway.config;

/**
 * One accepted change of the configuration. Immutable.
 *
 * @param changeId unique id of the change, assigned by the process that made it
 * @param author who made the change
 * @param epochMillis time of the change, in milliseconds since the epoch
 * @param kind {@code switch} or {@code put}
 * @param from preset in force before, or the preset's version before
 * @param to preset in force after, or the preset's version after
 * @param version version that the change resulted in
 */
public record AuditEntry(
        String changeId,
        String author,
        long epochMillis,
        String kind,
        String from,
        String to,
        long version) {}

package org.cornelway.config;

/**
 * One accepted change of the configuration. Immutable.
 *
 * @param changeId unique id that the author's process gave the change
 * @param author who made the change
 * @param epochMillis when, in milliseconds since the epoch
 * @param kind {@code switch} or {@code put}
 * @param from preset in force before, or the preset's version before
 * @param to preset in force after, or the preset's version after
 * @param version version that the change made
 */
public record AuditEntry(
        String changeId,
        String author,
        long epochMillis,
        String kind,
        String from,
        String to,
        long version) {}

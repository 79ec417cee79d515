package org.cornelway.config;

/**
 * One accepted change: a switch of the configuration to a preset, or a put of a stored preset.
 * Immutable.
 *
 * @param changeId unique id of the change, assigned by the process that made it
 * @param author who made the change
 * @param epochMillis time of the change, in milliseconds since the epoch
 * @param kind {@code switch} or {@code put}
 * @param from for a switch, the preset in force before; for a put, the preset's version before
 * @param to for a switch, the preset in force after; for a put, the preset's version after
 * @param version version of the configuration or of the preset that the change resulted in
 */
public record AuditEntry(
        String changeId,
        String author,
        long epochMillis,
        String kind,
        String from,
        String to,
        long version) {}

package org.cornelway.config;

/**
 * One accepted change: a preset was put in force ({@code switch}) or stored ({@code put}).
 * Immutable.
 *
 * @param changeId unique id of the change, assigned by the process that made it
 * @param author who made the change
 * @param epochMillis time of the change, in milliseconds since the epoch
 * @param kind {@code switch} or {@code put}
 * @param from for a switch, the name of the preset previously in force, empty if there was none;
 *     for a put, the preset before the change as {@code name@version}, with version 0 if it is new
 * @param to the preset after the change, as {@code name@version}
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

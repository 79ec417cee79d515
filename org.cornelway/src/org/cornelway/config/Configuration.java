package org.cornelway.config;

import java.util.List;

/**
 * The configuration in force, kept whole under one key so that a change and its audit entry cannot
 * part. Immutable.
 *
 * @param version rises by one with each accepted change
 * @param preset the preset in force
 * @param audit the latest changes, oldest first, this one last
 * @param archivedPages audit pages written before the entries in {@code audit}
 */
public record Configuration(
        long version, Preset preset, List<AuditEntry> audit, int archivedPages) {
    /** Copies the list. */
    public Configuration {
        audit = List.copyOf(audit);
    }

    /** The change that made this version. */
    public AuditEntry lastChange() {
        return audit.get(audit.size() - 1);
    }
}

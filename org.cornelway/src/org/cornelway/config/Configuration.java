package org.cornelway.config;

import java.util.List;

/**
 * The configuration in force. It is stored under a single key, so that a change and its audit entry
 * are written atomically. Immutable.
 *
 * @param version incremented by one with each accepted change
 * @param preset the preset in force
 * @param audit the latest changes, oldest first; the last one resulted in this version
 * @param archivedPages number of archived audit pages, which hold the changes before those in
 *     {@code audit}
 */
public record Configuration(
        long version, Preset preset, List<AuditEntry> audit, int archivedPages) {
    /** Copies the list. */
    public Configuration {
        audit = List.copyOf(audit);
    }

    /** The change that resulted in this version. */
    public AuditEntry lastChange() {
        return audit.get(audit.size() - 1);
    }
}

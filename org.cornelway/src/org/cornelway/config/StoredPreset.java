package org.cornelway.config;

import java.util.List;

/**
 * A preset as stored, with its latest audit entries. Immutable.
 *
 * @param preset the preset
 * @param version incremented by one each time that the preset is stored
 * @param audit the latest audit entries, oldest first
 * @param archivedPages number of audit pages, which hold the entries older than {@code audit}
 */
public record StoredPreset(Preset preset, long version, List<AuditEntry> audit, int archivedPages) {
    /** Copies the list. */
    public StoredPreset {
        audit = List.copyOf(audit);
    }
}

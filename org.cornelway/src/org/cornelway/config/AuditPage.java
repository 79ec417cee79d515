package org.cornelway.config;

import java.util.List;
import java.util.stream.Stream;

/**
 * Audit entries moved out of the configuration. Immutable.
 *
 * @param entries the entries, oldest first
 */
public record AuditPage(List<AuditEntry> entries) {
    /** Copies the list. */
    public AuditPage {
        entries = List.copyOf(entries);
    }

    /** The entries of a stored page. */
    public static Stream<AuditEntry> entries(byte[] value) {
        return Json.read(value, AuditPage.class).stream().flatMap(page -> page.entries().stream());
    }

    /**
     * What stays in the configuration. Immutable.
     *
     * @param audit the entries that stay
     * @param archivedPages number of pages written
     */
    public record Split(List<AuditEntry> audit, int archivedPages) {}
}

package org.cornelway.config;

import java.util.List;
import java.util.stream.Stream;

/**
 * A page of audit entries that were moved out of a configuration or a stored preset. Immutable.
 *
 * @param entries the entries, oldest first
 */
public record AuditPage(List<AuditEntry> entries) {
    /** Copies the list. */
    public AuditPage {
        entries = List.copyOf(entries);
    }

    /** Decodes the entries of a stored page; none if it is malformed. */
    public static Stream<AuditEntry> entries(byte[] value) {
        return Json.read(value, AuditPage.class).stream().flatMap(page -> page.entries().stream());
    }

    /**
     * The audit trail of a configuration or a stored preset after its oldest entries were moved to
     * pages. Immutable.
     *
     * @param audit the entries that stay
     * @param archivedPages number of pages written so far
     */
    public record RemainingAudit(List<AuditEntry> audit, int archivedPages) {}
}

package org.cornelway.admin;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.AuditPage;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValueStore;

/**
 * Stores the audit entries that are removed from a document, in pages that are never changed.
 *
 * <p>Invariant: an entry is removed from its document only after its page was written, so the
 * document and the pages together always contain every accepted change. Confined to the control
 * thread.
 */
final class AuditArchive {
    private static final int MAX_DOCUMENT_ENTRIES = 64;
    private static final int PAGE_ENTRIES = 32;

    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final String mPrefix;

    /**
     * @param prefix prefix of the pages' keys
     */
    AuditArchive(KeyValueStore store, Scheduler control, String prefix) {
        mStore = store;
        mControl = control;
        mPrefix = prefix;
    }

    /**
     * Writes the oldest entries to a new page if the list has reached its maximum length, and
     * returns the entries that the caller is to keep in the document.
     */
    Single<AuditPage.RemainingAudit> archiveOldest(List<AuditEntry> audit, int archivedPages) {
        if (audit.size() < MAX_DOCUMENT_ENTRIES) {
            return Single.just(new AuditPage.RemainingAudit(audit, archivedPages));
        }
        AuditPage page = new AuditPage(audit.subList(0, PAGE_ENTRIES));
        String key = mPrefix + String.format("%010d", archivedPages);
        AuditPage.RemainingAudit remaining =
                new AuditPage.RemainingAudit(
                        audit.subList(PAGE_ENTRIES, audit.size()), archivedPages + 1);
        // Every attempt to write this key writes the same entries, so a page that already exists
        // has the right content.
        return mStore.compareAndSwap(
                        key, KeyValueStore.ABSENT, Json.write(page), KeyValueStore.NO_LEASE)
                .flatMap(result -> mStore.get(key))
                .observeOn(mControl)
                .map(
                        stored -> {
                            if (stored.isEmpty()) {
                                throw new IllegalStateException("audit page was not written");
                            }
                            return remaining;
                        });
    }

    /** Returns all archived entries. */
    Single<List<AuditEntry>> entries() {
        return mStore.list(mPrefix)
                .observeOn(mControl)
                .map(
                        pages ->
                                pages.stream()
                                        .flatMap(page -> AuditPage.entries(page.value()))
                                        .toList());
    }
}

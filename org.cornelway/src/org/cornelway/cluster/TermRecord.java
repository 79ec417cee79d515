package org.cornelway.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;

/**
 * The last terms of the controller, as kept in the key-value service under {@link
 * ClusterKeys#TERMS}. Immutable.
 *
 * <p>Invariant: a term is recorded before its first order, so the first holder is the only one that
 * may have given orders since the terms of the others ended.
 *
 * @param fencingNumber fencing number of the newest term
 * @param holders instance ids of the holders of the last terms, newest first, each id once
 * @param complete whether an instance that is not listed is known to have given no orders within
 *     the re-election interval
 */
record TermRecord(long fencingNumber, List<String> holders, boolean complete) {
    /** Holders that are kept; more terms than this never begin within the interval. */
    static final int MAX_HOLDERS = 32;

    /**
     * The record as it was read. Immutable.
     *
     * @param revision revision of its key, or {@link KeyValueStore#ABSENT}
     */
    record Stored(TermRecord terms, long revision) {
        static Stored of(Optional<KeyValue> document) {
            return document.map(Stored::decode)
                    .orElseGet(() -> new Stored(none(), KeyValueStore.ABSENT));
        }

        private static Stored decode(KeyValue document) {
            // What can't be read may tell of any term.
            TermRecord terms =
                    Json.read(document.value(), TermRecord.class).orElseGet(none()::incomplete);
            return new Stored(terms, document.revision());
        }

        boolean isAbsent() {
            return revision == KeyValueStore.ABSENT;
        }
    }

    TermRecord {
        holders = holders == null ? List.of() : List.copyOf(holders);
    }

    /** The record before the first term. */
    static TermRecord none() {
        return new TermRecord(0, List.of(), true);
    }

    /** Returns the record once the interval has passed since the newest term began. */
    TermRecord settled() {
        return new TermRecord(fencingNumber, holders.subList(0, 1), true);
    }

    /** Returns the record after the begin of another term. */
    TermRecord withTerm(long newFencingNumber, String holder) {
        List<String> all = new ArrayList<>(holders);
        all.remove(holder);
        all.add(0, holder);
        boolean fits = all.size() <= MAX_HOLDERS;
        return new TermRecord(
                newFencingNumber, fits ? all : all.subList(0, MAX_HOLDERS), complete && fits);
    }

    /** Returns a copy that makes no statement on instances that it doesn't list. */
    TermRecord incomplete() {
        return new TermRecord(fencingNumber, holders, false);
    }

    /** Whether an instance held the newest term. */
    boolean isNewestHolder(String instance) {
        return !holders.isEmpty() && holders.get(0).equals(instance);
    }

    /** Whether another instance may have held a term since the last one of an instance ended. */
    boolean mayHaveSuccessorOf(String instance) {
        return !isNewestHolder(instance) && (!complete || holders.contains(instance));
    }
}

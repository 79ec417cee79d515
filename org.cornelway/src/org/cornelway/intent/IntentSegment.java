package org.cornelway.intent;

import java.util.List;

/**
 * One segment of the intent log, stored as one value in the key-value service. Immutable.
 *
 * @param sealed whether the segment is full, so that later entries are in the next segment
 * @param records the entries in the order in which they were written
 */
public record IntentSegment(boolean sealed, List<IntentRecord> records) {
    /** Copies the list. */
    public IntentSegment {
        records = List.copyOf(records);
    }
}

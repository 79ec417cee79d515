package org.cornelway.intent;

import java.util.List;

/**
 * One segment of the intent log, stored as one value in the key-value service. Immutable.
 *
 * @param sealed whether the segment is full, so that later records are in the next segment
 * @param records the records in the order in which they were written
 */
public record IntentSegment(boolean sealed, List<IntentRecord> records) {
    /** Copies the list. */
    public IntentSegment {
        records = List.copyOf(records);
    }
}

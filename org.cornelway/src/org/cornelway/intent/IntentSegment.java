package org.cornelway.intent;

import java.util.List;

/**
 * One value of the intent log in the key-value service. Immutable.
 *
 * @param sealed whether entries follow in the next segment
 * @param records the entries in the order written
 */
public record IntentSegment(boolean sealed, List<IntentRecord> records) {
    /** Copies the list. */
    public IntentSegment {
        records = List.copyOf(records);
    }
}

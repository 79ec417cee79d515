package org.cornelway.intent;

import java.util.List;

/**
 * A batch of records that is being written to the key-value service. Confined to the control
 * thread.
 */
final class IntentBatch {
    private final List<PendingIntent> mPendingIntents;
    private final List<IntentRecord> mNewRecords;
    private final List<IntentRecord> mSegmentRecords;
    private final byte[] mSegmentValue;
    private final boolean mSealed;
    private boolean mInDoubt;

    /**
     * @param pendingIntents the requests whose intents are among the new records
     * @param newRecords the records that the batch adds
     * @param segmentRecords all records of the segment, including the new ones
     * @param segmentValue the segment as it is written
     * @param sealed whether the segment is full, so that later records go to the next one
     */
    IntentBatch(
            List<PendingIntent> pendingIntents,
            List<IntentRecord> newRecords,
            List<IntentRecord> segmentRecords,
            byte[] segmentValue,
            boolean sealed) {
        mPendingIntents = pendingIntents;
        mNewRecords = newRecords;
        mSegmentRecords = segmentRecords;
        mSegmentValue = segmentValue;
        mSealed = sealed;
    }

    List<PendingIntent> pendingIntents() {
        return mPendingIntents;
    }

    List<IntentRecord> newRecords() {
        return mNewRecords;
    }

    List<IntentRecord> segmentRecords() {
        return mSegmentRecords;
    }

    byte[] segmentValue() {
        return mSegmentValue;
    }

    boolean sealed() {
        return mSealed;
    }

    /**
     * Returns whether the response to a write of the batch was lost, so that the write may have
     * taken effect.
     */
    boolean isInDoubt() {
        return mInDoubt;
    }

    void markInDoubt() {
        mInDoubt = true;
    }
}

package org.cornelway.intent;

import java.util.List;

/** One group of entries on its way to the key-value service. Confined to the control thread. */
final class IntentBatch {
    private final List<PendingIntent> mBegins;
    private final List<IntentRecord> mRecords;
    private final List<IntentRecord> mAll;
    private final byte[] mValue;
    private final boolean mSealed;
    private boolean mInDoubt;

    /**
     * @param begins the begins among the records
     * @param records the new entries
     * @param all the segment's entries with the new ones
     * @param value the segment as written
     */
    IntentBatch(
            List<PendingIntent> begins,
            List<IntentRecord> records,
            List<IntentRecord> all,
            byte[] value,
            boolean sealed) {
        mBegins = begins;
        mRecords = records;
        mAll = all;
        mValue = value;
        mSealed = sealed;
    }

    List<PendingIntent> pendingIntents() {
        return mBegins;
    }

    List<IntentRecord> newRecords() {
        return mRecords;
    }

    List<IntentRecord> segmentRecords() {
        return mAll;
    }

    byte[] segmentValue() {
        return mValue;
    }

    boolean sealed() {
        return mSealed;
    }

    /** Whether an answer to the write was lost, so that it may have taken effect. */
    boolean isInDoubt() {
        return mInDoubt;
    }

    void setInDoubt() {
        mInDoubt = true;
    }
}

package org.cornelway.models;

/**
 * The load from the checkpoint store that an engine carries out, and the loads beside it. Confined
 * to the control thread.
 */
final class StoreLoadProgress {
    private final EngineListener mListener;
    private long mBegunMillis;
    private int mLoadsAtBegin;
    private int mMostLoads;

    StoreLoadProgress(EngineListener listener) {
        mListener = listener;
    }

    /** Records that an order has begun. */
    void begin(long nowMillis) {
        mBegunMillis = nowMillis;
        mLoadsAtBegin = mListener.runningStoreLoads();
        mMostLoads = mLoadsAtBegin;
    }

    /** Counts the loads beside an order that is under way, if it reads the store. */
    void observe(PlannedOrder order) {
        if (order.readsCheckpointStore()) {
            mMostLoads = Math.max(mMostLoads, mListener.runningStoreLoads());
        }
    }

    /** Tells the listener that a load from the store has ended. */
    void end(PlannedOrder load, long nowMillis) {
        mListener.onStoreLoadEnded(
                load.expectedMillis(), nowMillis - mBegunMillis, mLoadsAtBegin, mMostLoads);
    }
}

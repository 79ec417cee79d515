package org.cornelway.residency;

import java.util.HashSet;
import java.util.Set;

/** The state of one model in one engine. Not thread-safe; confined to the control thread. */
public final class Replica {
    private final String mModel;
    private final Set<String> mAdapters = new HashSet<>();
    private ModelPhase mPhase = ModelPhase.ABSENT;
    private long mBytes;
    private int mActive;
    private long mLastUsedMillis;
    private boolean mDraining;
    private boolean mPinned;

    Replica(String model) {
        mModel = model;
    }

    /** The model. */
    public String model() {
        return mModel;
    }

    ModelPhase phase() {
        return mPhase;
    }

    void setPhase(ModelPhase phase) {
        mPhase = phase;
        if (phase != ModelPhase.LOADED) {
            mDraining = false;
        }
        if (phase == ModelPhase.ABSENT) {
            mAdapters.clear();
        }
    }

    long bytes() {
        return mBytes;
    }

    void setBytes(long bytes) {
        mBytes = bytes;
    }

    /** Requests running on it. */
    public int active() {
        return mActive;
    }

    void begin(long nowMillis) {
        mActive++;
        mLastUsedMillis = nowMillis;
    }

    void end(long nowMillis) {
        mActive--;
        mLastUsedMillis = nowMillis;
    }

    /** When work last started or ended on it. */
    public long lastUsedMillis() {
        return mLastUsedMillis;
    }

    void touch(long nowMillis) {
        mLastUsedMillis = nowMillis;
    }

    /** A draining replica starts nothing new, so that it can be evicted. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Stops or allows new starts. */
    public void setDraining(boolean draining) {
        mDraining = draining;
    }

    /** A pinned replica has an adapter order outstanding and is not unloaded. */
    void setPinned(boolean pinned) {
        mPinned = pinned;
    }

    Set<String> adapters() {
        return mAdapters;
    }

    /** Whether the replica could be unloaded now. */
    public boolean isIdle() {
        return mPhase == ModelPhase.LOADED && mActive == 0 && !mPinned;
    }

    ModelStatus status() {
        return new ModelStatus(mModel, mPhase, mBytes, mActive);
    }
}

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

    /** Returns the name of the model. */
    public String model() {
        return mModel;
    }

    ModelPhase phase() {
        return mPhase;
    }

    /**
     * Sets the phase. Draining ends with any phase other than {@link ModelPhase#LOADED}, and an
     * absent replica has no adapters.
     */
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

    /** Returns the number of requests running on it. */
    public int active() {
        return mActive;
    }

    void requestStarted(long nowMillis) {
        mActive++;
        mLastUsedMillis = nowMillis;
    }

    void requestEnded(long nowMillis) {
        mActive--;
        mLastUsedMillis = nowMillis;
    }

    /**
     * Returns the time at which a request last started or ended on it, at which it was loaded, or
     * at which the engine first reported it, whichever is latest.
     */
    public long lastUsedMillis() {
        return mLastUsedMillis;
    }

    /** Sets the time of the last use without a request. */
    void touch(long nowMillis) {
        mLastUsedMillis = nowMillis;
    }

    /** Whether the replica is draining: no new request starts on it, so that it can be evicted. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Sets whether the replica is draining. */
    public void setDraining(boolean draining) {
        mDraining = draining;
    }

    /**
     * Sets whether the replica is pinned: an adapter order is outstanding, so it must not be
     * unloaded.
     */
    void setPinned(boolean pinned) {
        mPinned = pinned;
    }

    /** Returns the loaded adapters; changes to the set change the replica. */
    Set<String> adapters() {
        return mAdapters;
    }

    /** Whether the replica is loaded and neither in use nor pinned, so that it can be unloaded. */
    public boolean isIdle() {
        return mPhase == ModelPhase.LOADED && mActive == 0 && !mPinned;
    }

    ModelStatus status() {
        return new ModelStatus(mModel, mPhase, mBytes, mActive);
    }
}

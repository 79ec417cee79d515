package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The adapters of one model on one engine: loaded, loading, or being unloaded.
 *
 * <p>Invariant: an adapter whose unload waits for its calls still takes its place, although new
 * calls cannot use it. Confined to the control thread.
 */
public final class HeldAdapters {
    private final Map<String, AdapterTimes> mTimes = new HashMap<>();

    /** Adapters whose unload the engine has accepted and not finished; each also has its times. */
    private final Set<String> mUnloading = new HashSet<>();

    /** The time from which an adapter can be used, and the time of its last use. */
    private static final class AdapterTimes {
        private long mReadyMillis;
        private long mLastUsedMillis;
    }

    /**
     * Adds an adapter if it is not held yet, and sets the time from which it can be used. That time
     * also counts as a use.
     */
    void put(String adapter, long readyMillis) {
        AdapterTimes times = mTimes.computeIfAbsent(adapter, key -> new AdapterTimes());
        times.mReadyMillis = readyMillis;
        times.mLastUsedMillis = Math.max(times.mLastUsedMillis, readyMillis);
    }

    void remove(String adapter) {
        mTimes.remove(adapter);
        mUnloading.remove(adapter);
    }

    /** Records that the adapter is unloaded once its calls have ended. */
    void beginUnload(String adapter) {
        if (mTimes.containsKey(adapter)) {
            mUnloading.add(adapter);
        }
    }

    boolean isUnloading(String adapter) {
        return mUnloading.contains(adapter);
    }

    int unloadingCount() {
        return mUnloading.size();
    }

    /** Records a use of the adapter; does nothing if it is not held. */
    void touch(String adapter, long nowMillis) {
        AdapterTimes times = mTimes.get(adapter);
        if (times != null) {
            times.mLastUsedMillis = Math.max(times.mLastUsedMillis, nowMillis);
        }
    }

    /** Whether the adapter is loaded or loading, and not being unloaded. */
    boolean contains(String adapter) {
        return mTimes.containsKey(adapter) && !mUnloading.contains(adapter);
    }

    boolean isReady(String adapter, long nowMillis) {
        return contains(adapter) && mTimes.get(adapter).mReadyMillis <= nowMillis;
    }

    /** Returns the number of places taken, also by adapters that are being unloaded. */
    int count() {
        return mTimes.size();
    }

    /** Returns the number of adapters that are still loading and cannot be used yet. */
    int loadingCount(long nowMillis) {
        return (int) mTimes.values().stream().filter(t -> t.mReadyMillis > nowMillis).count();
    }

    /** Returns the names of the adapters that are loaded or loading, and not being unloaded. */
    public Set<String> names() {
        Set<String> names = new HashSet<>(mTimes.keySet());
        names.removeAll(mUnloading);
        return names;
    }

    /**
     * Replaces the set of adapters, keeping the times of those that stay. New ones can be used from
     * now on. The unload of those that are gone is finished.
     */
    void replaceNames(Set<String> names, long nowMillis) {
        mTimes.keySet().retainAll(names);
        mUnloading.retainAll(names);
        names.forEach(
                name -> {
                    if (!mTimes.containsKey(name)) {
                        put(name, nowMillis);
                    }
                });
    }

    /** Returns the time of last use of each adapter that is not being unloaded. */
    Map<String, Long> lastUsedMillis() {
        Map<String, Long> lastUsed = new HashMap<>();
        names().forEach(name -> lastUsed.put(name, mTimes.get(name).mLastUsedMillis));
        return lastUsed;
    }
}

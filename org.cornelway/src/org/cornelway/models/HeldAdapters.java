package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The adapters of one model on one engine, loaded or loading. Confined to the control thread. */
public final class HeldAdapters {
    private final Map<String, AdapterTimes> mTimes = new HashMap<>();

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
    }

    /** Records a use of the adapter; does nothing if it is not held. */
    void touch(String adapter, long nowMillis) {
        AdapterTimes times = mTimes.get(adapter);
        if (times != null) {
            times.mLastUsedMillis = Math.max(times.mLastUsedMillis, nowMillis);
        }
    }

    boolean contains(String adapter) {
        return mTimes.containsKey(adapter);
    }

    boolean isReady(String adapter, long nowMillis) {
        AdapterTimes times = mTimes.get(adapter);
        return times != null && times.mReadyMillis <= nowMillis;
    }

    int count() {
        return mTimes.size();
    }

    /** Returns the number of adapters that are still loading and cannot be used yet. */
    int loadingCount(long nowMillis) {
        return (int) mTimes.values().stream().filter(t -> t.mReadyMillis > nowMillis).count();
    }

    /** Returns the names of all adapters, loaded or loading. */
    public Set<String> names() {
        return new HashSet<>(mTimes.keySet());
    }

    /**
     * Replaces the set of adapters, keeping the times of those that stay. New ones can be used from
     * now on.
     */
    void replaceNames(Set<String> names, long nowMillis) {
        mTimes.keySet().retainAll(names);
        names.forEach(
                name -> {
                    if (!mTimes.containsKey(name)) {
                        put(name, nowMillis);
                    }
                });
    }

    /** Returns the time of each adapter's last use. */
    Map<String, Long> lastUsedMillis() {
        Map<String, Long> lastUsed = new HashMap<>();
        mTimes.forEach((name, times) -> lastUsed.put(name, times.mLastUsedMillis));
        return lastUsed;
    }
}

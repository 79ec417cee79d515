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
        private long mUsedMillis;
    }

    /**
     * Adds an adapter if it is not held yet, and sets the time from which it can be used. That time
     * also counts as a use.
     */
    void put(String adapter, long readyMillis) {
        AdapterTimes times = mTimes.computeIfAbsent(adapter, key -> new AdapterTimes());
        times.mReadyMillis = readyMillis;
        times.mUsedMillis = Math.max(times.mUsedMillis, readyMillis);
    }

    void remove(String adapter) {
        mTimes.remove(adapter);
    }

    void touch(String adapter, long nowMillis) {
        AdapterTimes times = mTimes.get(adapter);
        if (times != null) {
            times.mUsedMillis = Math.max(times.mUsedMillis, nowMillis);
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

    /** Returns the number of adapters that cannot be used yet. */
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
        Map<String, Long> uses = new HashMap<>();
        mTimes.forEach((name, times) -> uses.put(name, times.mUsedMillis));
        return uses;
    }
}

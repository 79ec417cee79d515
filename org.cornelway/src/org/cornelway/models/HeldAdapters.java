package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The adapters of one model on one engine, loaded or loading. Confined to the control thread. */
public final class HeldAdapters {
    private final Map<String, Use> mUses = new HashMap<>();

    /** The time from which an adapter can be used, and the time of its last use. */
    private static final class Use {
        private long mReadyMillis;
        private long mUsedMillis;
    }

    /** Records an adapter and the time from which it can be used. */
    void put(String adapter, long readyMillis) {
        Use use = mUses.computeIfAbsent(adapter, key -> new Use());
        use.mReadyMillis = readyMillis;
        use.mUsedMillis = Math.max(use.mUsedMillis, readyMillis);
    }

    void remove(String adapter) {
        mUses.remove(adapter);
    }

    void touch(String adapter, long nowMillis) {
        Use use = mUses.get(adapter);
        if (use != null) {
            use.mUsedMillis = Math.max(use.mUsedMillis, nowMillis);
        }
    }

    boolean contains(String adapter) {
        return mUses.containsKey(adapter);
    }

    boolean isReady(String adapter, long nowMillis) {
        Use use = mUses.get(adapter);
        return use != null && use.mReadyMillis <= nowMillis;
    }

    int count() {
        return mUses.size();
    }

    /** Returns the number of adapters that cannot be used yet. */
    int loadingCount(long nowMillis) {
        return (int) mUses.values().stream().filter(u -> u.mReadyMillis > nowMillis).count();
    }

    /** Returns the names of all adapters, loaded or loading. */
    public Set<String> names() {
        return new HashSet<>(mUses.keySet());
    }

    /**
     * Replaces the set of adapters, keeping the times of those that stay. New ones can be used from
     * now on.
     */
    void replaceNames(Set<String> names, long nowMillis) {
        mUses.keySet().retainAll(names);
        names.forEach(
                name -> {
                    if (!mUses.containsKey(name)) {
                        put(name, nowMillis);
                    }
                });
    }

    /** Returns the time of each adapter's last use. */
    Map<String, Long> lastUsedMillis() {
        Map<String, Long> uses = new HashMap<>();
        mUses.forEach((name, use) -> uses.put(name, use.mUsedMillis));
        return uses;
    }
}

package org.cornelway.models;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The adapters of one model on one engine. Confined to the control thread. */
public final class HeldAdapters {
    private final Map<String, Use> mUses = new HashMap<>();

    /** When an adapter can be used, and when it last was. */
    private static final class Use {
        private long mReadyMillis;
        private long mUsedMillis;
    }

    /** Notes an adapter that can be used from a point in time on. */
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

    /** Adapters that cannot be used yet. */
    int loadingCount(long nowMillis) {
        return (int) mUses.values().stream().filter(u -> u.mReadyMillis > nowMillis).count();
    }

    /** Their names. */
    public Set<String> names() {
        return new HashSet<>(mUses.keySet());
    }

    /** Replaces the names, keeping what is known of those that stay. */
    void replaceNames(Set<String> names, long nowMillis) {
        mUses.keySet().retainAll(names);
        names.forEach(
                name -> {
                    if (!mUses.containsKey(name)) {
                        put(name, nowMillis);
                    }
                });
    }

    /** When each adapter was last used. */
    Map<String, Long> lastUsedMillis() {
        Map<String, Long> uses = new HashMap<>();
        mUses.forEach((name, use) -> uses.put(name, use.mUsedMillis));
        return uses;
    }
}

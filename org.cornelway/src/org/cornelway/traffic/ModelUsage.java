package org.cornelway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts calls by server, model and adapter. Confined to the traffic thread. */
public final class ModelUsage {
    private final Map<Key, Count> mCounts = new HashMap<>();

    /** What is counted separately. */
    private record Key(String server, ModelTarget target) {}

    /** A mutable pair of counts. */
    private static final class Count {
        private int mActive;
        private int mStarted;
    }

    /**
     * Use of a model on a server. Immutable.
     *
     * @param active calls under way
     * @param started calls that began since the last report
     */
    public record Use(String server, ModelTarget target, int active, int started) {}

    /** Notes that a call began on a server. */
    public void began(String server, ModelTarget target) {
        Count count = mCounts.computeIfAbsent(new Key(server, target), key -> new Count());
        count.mActive++;
        count.mStarted++;
    }

    /** Notes that a call ended. */
    public void ended(String server, ModelTarget target) {
        Count count = mCounts.get(new Key(server, target));
        if (count != null) {
            count.mActive--;
        }
    }

    /** What is in use, and what began since the last call. */
    public List<Use> drain() {
        List<Use> uses = new ArrayList<>();
        mCounts.forEach(
                (key, count) ->
                        uses.add(
                                new Use(
                                        key.server(),
                                        key.target(),
                                        count.mActive,
                                        count.mStarted)));
        mCounts.values().removeIf(count -> count.mActive <= 0);
        mCounts.values().forEach(count -> count.mStarted = 0);
        return uses;
    }
}

package org.cornelway.intent;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValueStore;

/**
 * Intent log that is sharded by key and writes the records of a shard in batches.
 *
 * <p>An agent writes at most one batch per shard and write interval, and entries send all calls
 * whose keys are in the same shard to the same agent if possible. The rate of writes is therefore
 * bounded by the number of shards and does not grow with the load or the number of agents.
 *
 * <p>Confined to the control thread.
 */
public final class ShardedIntentLog implements IntentLog {
    private final List<IntentShard> mShards = new ArrayList<>();

    /**
     * @param service the plain service whose calls are recorded
     */
    public ShardedIntentLog(
            String service,
            KeyValueStore store,
            Scheduler control,
            IntentSettings settings,
            Invariants invariants) {
        for (int shard = 0; shard < settings.shards(); shard++) {
            String prefix = "cornelway/intents/" + service + "/" + shard + "/";
            mShards.add(new IntentShard(prefix, store, control, settings, invariants));
        }
    }

    /** Returns the shard of a key, from 0 to {@code shards - 1}. */
    public static int shardOf(String key, int shards) {
        return Math.floorMod(key.hashCode(), shards);
    }

    @Override
    public Single<IntentDecision> begin(IntentRequest request) {
        return shard(request).begin(request);
    }

    @Override
    public void recordOutcome(IntentRequest request, RecordedOutcome outcome) {
        shard(request).recordOutcome(request, outcome);
    }

    @Override
    public void abandon(IntentRequest request) {
        shard(request).abandon(request);
    }

    @Override
    public void markOutcomeUnknown(IntentRequest request) {
        shard(request).markOutcomeUnknown(request);
    }

    /** Removes the expired records and returns the number of keys that are left in the log. */
    public int size() {
        return mShards.stream().mapToInt(IntentShard::removeExpiredAndCount).sum();
    }

    private IntentShard shard(IntentRequest request) {
        return mShards.get(shardOf(request.key(), mShards.size()));
    }
}

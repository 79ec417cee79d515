package org.cornelway.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import org.cornelway.intent.ShardedIntentLog;
import org.cornelway.platform.Member;
import org.cornelway.relay.RendezvousHash;

/**
 * Chooses by what the agents' latest answers said.
 *
 * <p>Requests for a loaded model go to the less loaded of two random replicas. Requests for a cold
 * model go to its first slot, whichever entry they come in at, so that they join one load. Requests
 * with an idempotency key go to the agent that writes the key's shard. Agents whose answers come
 * slowly get only a request now and then, which finds out whether they are slow still. Thread-safe.
 */
public final class LoadAwareChooser implements AgentChooser {
    private static final double SPILL_LOAD = 1.0;

    private final IntUnaryOperator mRandom;
    private final int mShards;

    /**
     * @param random gives a number from 0 up to its argument
     * @param shards shards of the intent log
     */
    public LoadAwareChooser(IntUnaryOperator random, int shards) {
        mRandom = random;
        mShards = shards;
    }

    @Override
    public Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded) {
        List<Member> left =
                view.agents(target).stream()
                        .filter(member -> !excluded.contains(member.id()))
                        .toList();
        List<Member> preferred =
                left.stream().filter(member -> !loads.isAvoided(member.id())).toList();
        List<Member> candidates = preferred.isEmpty() ? left : preferred;
        candidates = withoutSlow(candidates, loads.slowAgents());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (target.isModel()) {
            return Optional.of(forModel(target.model(), candidates, loads));
        }
        return Optional.of(
                target.affinityKey().isEmpty()
                        ? lessLoadedOfTwo(candidates, loads)
                        : byAffinity(target.affinityKey(), candidates));
    }

    /** Leaves slow agents out, if any others are left and their progress need not be looked at. */
    private static List<Member> withoutSlow(List<Member> candidates, SlowAgentDetector progress) {
        List<Member> brisk =
                candidates.stream().filter(member -> !progress.isSlow(member.id())).toList();
        return brisk.isEmpty() ? candidates : brisk;
    }

    private Member forModel(String model, List<Member> candidates, AgentLoadTable loads) {
        List<Member> loaded =
                candidates.stream().filter(member -> loads.isResident(member.id(), model)).toList();
        if (loaded.isEmpty()) {
            return candidates.get(0);
        }
        Member best = lessLoadedOfTwo(loaded, loads);
        if (loads.load(best.id()) <= SPILL_LOAD || loaded.size() == candidates.size()) {
            return best;
        }
        return candidates.stream()
                .filter(member -> !loaded.contains(member))
                .findFirst()
                .orElse(best);
    }

    private Member lessLoadedOfTwo(List<Member> members, AgentLoadTable loads) {
        Member first = members.get(mRandom.applyAsInt(members.size()));
        Member second = members.get(mRandom.applyAsInt(members.size()));
        return loads.load(first.id()) <= loads.load(second.id()) ? first : second;
    }

    private Member byAffinity(String key, List<Member> members) {
        String shard = "intent-shard/" + ShardedIntentLog.shardOf(key, mShards);
        return members.stream()
                .min(
                        Comparator.comparingLong(
                                (Member member) -> RendezvousHash.weight(member.id(), shard)))
                .orElseThrow();
    }
}

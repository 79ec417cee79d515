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
 * Chooses agents by the load that they last reported and by this entry's own open requests.
 *
 * <p>Requests for a loaded model go to the less loaded of two random replicas; if its load exceeds
 * its capacity, they go to an agent that has not loaded the model yet, if there is one. Requests
 * for a model that is not loaded go to the agent that the placement names first for the model. All
 * entries choose the same agent, so that the model is loaded only once. Requests for a plain
 * service go to the less loaded of two random agents or, if they have an idempotency key, to the
 * agent that rendezvous hashing selects for the key's shard of the intent log. Slow agents get only
 * an occasional probe request, which shows whether they are still slow. Thread-safe.
 */
public final class LoadAwareChooser implements AgentChooser {
    /**
     * Load of the chosen replica, as a share of its capacity, above which a request goes to an
     * agent that has not loaded the model yet.
     */
    private static final double SPILL_LOAD = 1.0;

    private final IntUnaryOperator mRandom;
    private final int mShardCount;

    /**
     * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
     * @param shardCount number of shards of the intent log
     */
    public LoadAwareChooser(IntUnaryOperator random, int shardCount) {
        mRandom = random;
        mShardCount = shardCount;
    }

    @Override
    public Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded) {
        List<Member> remaining =
                view.agents(target).stream()
                        .filter(member -> !excluded.contains(member.id()))
                        .toList();
        List<Member> preferred =
                remaining.stream().filter(member -> !loads.isAvoided(member.id())).toList();
        List<Member> candidates = preferred.isEmpty() ? remaining : preferred;
        candidates = removeSlowUnlessProbeDue(candidates, loads.slowAgents());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (target.isModel()) {
            return Optional.of(chooseForModel(target.model(), candidates, loads));
        }
        return Optional.of(
                target.affinityKey().isEmpty()
                        ? lessLoadedOfTwo(candidates, loads)
                        : chooseByAffinity(target.affinityKey(), candidates));
    }

    /**
     * Removes slow agents, unless all are slow. A slow agent that is due for a probe is not
     * removed, and its next probe interval starts.
     */
    private static List<Member> removeSlowUnlessProbeDue(
            List<Member> candidates, SlowAgentDetector detector) {
        List<Member> others =
                candidates.stream()
                        .filter(member -> !detector.avoidUnlessProbeDue(member.id()))
                        .toList();
        return others.isEmpty() ? candidates : others;
    }

    private Member chooseForModel(String model, List<Member> candidates, AgentLoadTable loads) {
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

    private Member chooseByAffinity(String key, List<Member> members) {
        String shard = "intent-shard/" + ShardedIntentLog.shardOf(key, mShardCount);
        return members.stream()
                .min(
                        Comparator.comparingLong(
                                (Member member) -> RendezvousHash.weight(member.id(), shard)))
                .orElseThrow();
    }
}

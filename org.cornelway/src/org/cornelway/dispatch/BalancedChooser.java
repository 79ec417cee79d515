package org.cornelway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Chooses between the servers whose cost is nearly the lowest, for entries that choose at the same
 * time by the same reports, among servers of which some are slow for a moment and engines whose
 * memory may run out.
 *
 * <p>The cost is the part of the server's slots or memory that is taken with this call, whichever
 * is larger, times the slowness. It is computed from {@link Candidate#comparableRequests}. A server
 * costs more if it is slow against its peers, has no place for the call, is in another availability
 * zone, has failed recent calls, is suspect or was tried before. Of the servers whose cost differs
 * from the lowest by less than the reports are accurate, two are drawn, and the one with the lower
 * cost is chosen, so that entries with the same reports do not all choose the same server. Before,
 * the server that has probably cached the shared parts of the prompt is chosen if it has a place
 * and its cost by {@link Candidate#requests} is not much above the lowest. Pure and thread-safe.
 */
public final class BalancedChooser implements ServerChooser {
    /** Cost of a server in another availability zone, in requests per slot. */
    private static final double OTHER_ZONE_COST = 0.08;

    /** Reduction of the cost for cached parts of the prompt, in requests per slot. */
    private static final double AFFINITY_GAIN = 0.2;

    /**
     * Part of an engine's slots or memory up to which calls are sent to it for the sake of cached
     * parts of the prompt. All entries do so at once, and each learns of the others' calls late.
     */
    private static final double MAX_AFFINITY_LOAD = 0.75;

    /** Cost per unit of difference to the lowest error rate, in requests per slot. */
    private static final double ERROR_RATE_WEIGHT = 2.0;

    /**
     * Cost of a server that is slow against its peers, in requests per slot: it ranks like a server
     * without free slots.
     */
    private static final double SLOW_COST = 1;

    /**
     * Cost of an engine without a place for the call, which ranks after slow ones: a slow engine
     * delays the call, while a full one also takes memory from streams that run.
     */
    private static final double NO_PLACE_COST = 2;

    /**
     * Part of an engine's memory that is used. Responses may be longer than their callers expect,
     * and other entries send calls at the same time; if the memory runs out, streams are preempted.
     */
    private static final double USED_MEMORY = 0.85;

    /** Difference of cost that says nothing, in requests, since reports are late. */
    private static final double NEAR_REQUESTS = 2;

    /** Cost of a server that was tried before; it ranks after all untried ones not suspect. */
    private static final double TRIED_COST = 50;

    /** Cost of a suspect server, so that it ranks after all others. */
    private static final double SUSPECT_COST = 100;

    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, CallNeeds needs) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int cached = affinityIndex(candidates, needs.affinity());
        if (cached >= 0 && load(candidates.get(cached), needs) <= MAX_AFFINITY_LOAD) {
            double[] costs = costs(candidates, needs, Candidate::requests);
            if (costs[cached] - AFFINITY_GAIN <= costs[indexOfLowest(costs)]) {
                return Optional.of(candidates.get(cached));
            }
        }
        double[] costs = costs(candidates, needs, Candidate::comparableRequests);
        return Optional.of(candidates.get(draw(candidates, costs, needs)));
    }

    private static double load(Candidate candidate, CallNeeds needs) {
        return Math.max(candidate.slotLoadWithCall(), candidate.memoryLoadWith(needs.tokens()));
    }

    private static int indexOfLowest(double[] costs) {
        int lowest = 0;
        for (int i = 1; i < costs.length; i++) {
            lowest = costs[i] < costs[lowest] ? i : lowest;
        }
        return lowest;
    }

    /** Whether an engine has a free slot and memory for the call; true for a plain server. */
    public static boolean hasPlace(Candidate candidate, CallNeeds needs) {
        return candidate.tokenCapacity() == 0
                || candidate.slotLoadWithCall() <= 1
                        && candidate.memoryLoadWith(needs.tokens()) <= USED_MEMORY;
    }

    /** Whether a server has a free slot and memory for the call and is not slow. */
    public static boolean isFast(Candidate candidate, CallNeeds needs) {
        return !candidate.slow() && candidate.slotLoadWithCall() <= 1 && hasPlace(candidate, needs);
    }

    private static double[] costs(
            List<Candidate> candidates, CallNeeds needs, ToDoubleFunction<Candidate> requests) {
        double lowestErrorRate = Double.MAX_VALUE;
        for (Candidate each : candidates) {
            lowestErrorRate = Math.min(lowestErrorRate, each.errorRate());
        }
        double[] costs = new double[candidates.size()];
        for (int i = 0; i < costs.length; i++) {
            Candidate candidate = candidates.get(i);
            costs[i] = cost(candidate, requests.applyAsDouble(candidate), needs, lowestErrorRate);
        }
        return costs;
    }

    private static double cost(
            Candidate candidate, double requests, CallNeeds needs, double lowestErrorRate) {
        double slotLoad = (requests + 1) / candidate.server().slots();
        return Math.max(slotLoad, candidate.memoryLoadWith(needs.tokens())) * candidate.slowness()
                + (candidate.slow() ? SLOW_COST : 0)
                + (hasPlace(candidate, needs) ? 0 : NO_PLACE_COST)
                + (candidate.sameZone() ? 0 : OTHER_ZONE_COST)
                + ERROR_RATE_WEIGHT * (candidate.errorRate() - lowestErrorRate)
                + (needs.tried().contains(candidate.server().id()) ? TRIED_COST : 0)
                + (candidate.suspect() ? SUSPECT_COST : 0);
    }

    /** Returns the better one of two servers drawn from those that cost nearly the least. */
    private static int draw(List<Candidate> candidates, double[] costs, CallNeeds needs) {
        int best = indexOfLowest(costs);
        double limit = costs[best] + NEAR_REQUESTS / candidates.get(best).server().slots();
        int[] near = new int[costs.length];
        int count = 0;
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] <= limit) {
                near[count++] = i;
            }
        }
        if (count == 1) {
            return best;
        }
        int hash = mix(needs.draw());
        int first = Math.floorMod(hash, count);
        int second = (first + 1 + Math.floorMod(mix(hash), count - 1)) % count;
        return costs[near[second]] < costs[near[first]] ? near[second] : near[first];
    }

    /**
     * Returns the server that calls with the same shared prompt parts prefer, by rendezvous
     * hashing; -1 if the call shares none.
     */
    private static int affinityIndex(List<Candidate> candidates, int affinity) {
        int index = -1;
        int highest = Integer.MIN_VALUE;
        for (int i = 0; affinity != 0 && i < candidates.size(); i++) {
            int rank = mix(candidates.get(i).server().id().hashCode() ^ affinity);
            if (index < 0 || rank > highest) {
                index = i;
                highest = rank;
            }
        }
        return index;
    }

    /** Spreads a hash over all bits; the multiplier is a prime close to 2^32 / golden ratio. */
    private static int mix(int hash) {
        int product = (hash ^ hash >>> 16) * 0x9E3779B1;
        return product ^ product >>> 15;
    }
}

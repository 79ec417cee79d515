package org.cornelway.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the server with the lowest cost. The cost is the number of requests per slot, including
 * this call, times the slowness. A server costs more if it is in another availability zone, has
 * failed recent calls, is suspect or was tried before. If the call shares prompt parts with other
 * calls, the server that all those calls prefer costs less, since it has probably cached these
 * parts.
 *
 * <p>The calls in flight from this process are known immediately, whereas load reports arrive late.
 * The number of requests is therefore the larger of these calls and the reported requests. The
 * reported slowness accounts for servers that are slow for a short time. Tests use it as the
 * baseline of {@link BalancedChooser}. Pure and thread-safe.
 */
public final class LeastLoadedChooser implements ServerChooser {
    /** Cost of a server in another availability zone, in requests per slot. */
    private static final double OTHER_ZONE_COST = 0.08;

    /**
     * Reduction of the cost of the server that has probably cached the shared parts of the prompt
     * and need not process them again, in requests per slot.
     */
    private static final double AFFINITY_GAIN = 0.2;

    /**
     * Cost per unit of the difference between a server's error rate and the lowest error rate among
     * the candidates, in requests per slot.
     */
    private static final double ERROR_RATE_WEIGHT = 2.0;

    /**
     * Cost of a server that the call was sent to before, so that it ranks after all untried servers
     * that are not suspect.
     */
    private static final double TRIED_COST = 50;

    /** Cost of a suspect server, so that it ranks after all others. */
    private static final double SUSPECT_COST = 100;

    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, CallNeeds needs) {
        int affinity = needs.affinity();
        double lowestErrorRate =
                candidates.stream().mapToDouble(Candidate::errorRate).min().orElse(0);
        Optional<Candidate> affinityServer =
                affinity == 0
                        ? Optional.empty()
                        : candidates.stream()
                                .max(Comparator.comparingInt(each -> affinityRank(each, affinity)));
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                each ->
                                        cost(each, lowestErrorRate)
                                                + (needs.tried().contains(each.server().id())
                                                        ? TRIED_COST
                                                        : 0)
                                                - (affinityServer.filter(each::equals).isPresent()
                                                        ? AFFINITY_GAIN
                                                        : 0)));
    }

    /**
     * Ranks a candidate by rendezvous hashing, so that calls that share prompt parts prefer the
     * same server. The multiplier is a prime close to 2^32 divided by the golden ratio.
     */
    private static int affinityRank(Candidate candidate, int affinity) {
        int hash = (candidate.server().id().hashCode() ^ affinity) * 0x9E3779B1;
        return hash ^ hash >>> 15;
    }

    private static double cost(Candidate candidate, double lowestErrorRate) {
        int requestCount = Math.max(candidate.inFlight(), candidate.reportedRequests());
        double load = (requestCount + 1.0) / candidate.server().slots();
        return load * candidate.slowness()
                + (candidate.sameZone() ? 0 : OTHER_ZONE_COST)
                + ERROR_RATE_WEIGHT * (candidate.errorRate() - lowestErrorRate)
                + (candidate.suspect() ? SUSPECT_COST : 0);
    }
}

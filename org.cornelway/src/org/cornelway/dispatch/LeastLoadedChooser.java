package org.cornelway.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses by own work in flight and reported load, with a preference for the availability zone and
 * for the server that holds the call's shared parts.
 *
 * <p>Answers loads where servers differ in speed for moments and reports are late: own work in
 * flight is known at once, the reported load and slowness refine it. Pure and thread-safe.
 */
public final class LeastLoadedChooser implements ServerChooser {
    /** Load, as a share of the slots, that bytes between zones are worth. */
    private static final double OTHER_ZONE_COST = 0.08;

    /** Load, as a share of the slots, that reading a prompt's shared parts again is worth. */
    private static final double AFFINITY_GAIN = 0.2;

    /** Weight of a server's share of failed calls beyond that of the best candidate. */
    private static final double ERROR_COST = 2.0;

    /** A server that was tried before comes last among those not suspect. */
    private static final double TRIED_COST = 50;

    private static final double SUSPECT_COST = 100;

    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, int affinity, Set<String> tried) {
        double bestErrors = candidates.stream().mapToDouble(Candidate::errorRate).min().orElse(0);
        Optional<Candidate> home =
                affinity == 0
                        ? Optional.empty()
                        : candidates.stream()
                                .max(Comparator.comparingInt(each -> rank(each, affinity)));
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                each ->
                                        cost(each, bestErrors)
                                                + (tried.contains(each.server().id())
                                                        ? TRIED_COST
                                                        : 0)
                                                - (home.filter(each::equals).isPresent()
                                                        ? AFFINITY_GAIN
                                                        : 0)));
    }

    private static int rank(Candidate candidate, int affinity) {
        int mixed = (candidate.server().id().hashCode() ^ affinity) * 0x9E3779B1;
        return mixed ^ mixed >>> 15;
    }

    private static double cost(Candidate candidate, double bestErrors) {
        int busy = Math.max(candidate.inFlight(), candidate.reportedRequests());
        double load = (busy + 1.0) / candidate.server().slots();
        return load * candidate.slowness()
                + (candidate.sameZone() ? 0 : OTHER_ZONE_COST)
                + ERROR_COST * (candidate.errorRate() - bestErrors)
                + (candidate.suspect() ? SUSPECT_COST : 0);
    }
}

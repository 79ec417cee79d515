package org.cornelway.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.BalancedChooser;
import org.cornelway.dispatch.CallNeeds;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.ServerNotices;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.time.Deadline;

/**
 * Selects the server that one call is sent to, among those that can take it. Confined to the
 * traffic thread; lives as long as its call.
 */
final class ServerSelector {
    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final SendHistory mHistory;
    private final RunningAttempts mAttempts;

    ServerSelector(
            TrafficContext context,
            CallerRequest request,
            SendHistory history,
            RunningAttempts attempts) {
        mContext = context;
        mRequest = request;
        mHistory = history;
        mAttempts = attempts;
    }

    /**
     * Returns the usable servers of a service at which the call may run; for a model, those of them
     * that hold it.
     */
    private List<ServerRecord> holders(String service) {
        Set<String> running = mAttempts.servers();
        List<ServerRecord> usable =
                mContext.view().get().directory().usable(service).stream()
                        .filter(each -> mHistory.mayRunAt(each.id(), running))
                        .toList();
        return mRequest.head()
                .target()
                .map(target -> mContext.holdings().holders(usable, target))
                .orElse(usable);
    }

    /** Returns those holders that take calls now, whatever their limits. */
    private List<ServerRecord> servers(String service) {
        long now = mContext.clock().nowMillis();
        return holders(service).stream()
                .filter(server -> mContext.notices().acceptsCalls(server.incarnation(), now))
                .toList();
    }

    /** Returns those holders that take calls now and whose limits allow another call. */
    private List<ServerRecord> allowed(String service) {
        long now = mContext.clock().nowMillis();
        return servers(service).stream()
                .filter(server -> mContext.limits().allows(server.incarnation(), now))
                .toList();
    }

    /** Returns the servers that would take the call but for their limits. */
    List<ServerIncarnation> atLimit(String service) {
        long now = mContext.clock().nowMillis();
        return mContext.limits().isEmpty()
                ? List.of()
                : servers(service).stream()
                        .map(ServerRecord::incarnation)
                        .filter(each -> !mContext.limits().allows(each, now))
                        .toList();
    }

    /**
     * Asks for permits for calls like this one: from one of the servers at their limits if no other
     * server can take the call, and else from those that have not been heard of for a while.
     */
    void requestPermits(String service, List<Candidate> candidates) {
        List<ServerIncarnation> atLimit = atLimit(service);
        if (candidates.isEmpty() && !atLimit.isEmpty()) {
            int index = Math.floorMod(mRequest.head().requestId().hashCode(), atLimit.size());
            mContext.limits().recordWanted(atLimit.get(index));
            return;
        }
        long now = mContext.clock().nowMillis();
        atLimit.stream()
                .filter(each -> mContext.limits().isOutdated(each, now))
                .forEach(mContext.limits()::recordWanted);
    }

    /** Returns when the first server takes calls again, if servers want none for a while. */
    Optional<Deadline> pausedUntil(String service) {
        long now = mContext.clock().nowMillis();
        ServerNotices notices = mContext.notices();
        return holders(service).stream()
                .map(ServerRecord::incarnation)
                .filter(incarnation -> !notices.isLeaving(incarnation))
                .flatMap(incarnation -> notices.pausedUntil(incarnation, now).stream())
                .min(Comparator.naturalOrder());
    }

    /** Whether a server can take the call. */
    boolean hasCandidates(String service) {
        return !allowed(service).isEmpty();
    }

    /**
     * Returns the servers that can take the call, with their loads. Limited servers are left out
     * while another one has a place, unless they have not been heard of for a while.
     */
    List<Candidate> candidates(String service) {
        List<Candidate> all =
                mContext.loads()
                        .candidates(
                                allowed(service),
                                tokenCapacity(service),
                                mContext.view().get().entryCount());
        if (all.stream().noneMatch(this::hasPlaceWithoutLimit)) {
            return all;
        }
        long now = mContext.clock().nowMillis();
        return all.stream()
                .filter(
                        each ->
                                !isLimited(each)
                                        || mContext.limits()
                                                .isOutdated(each.server().incarnation(), now))
                .toList();
    }

    /** Returns the tokens that an engine's memory holds; 0 if the service has no engines. */
    private long tokenCapacity(String service) {
        return mContext.view()
                .get()
                .routes()
                .flatMap(table -> table.service(service))
                .flatMap(ServiceDefinition::engine)
                .map(EngineDefinition::kvTokens)
                .orElse(0L);
    }

    private CallNeeds needs() {
        RequestHead head = mRequest.head();
        return new CallNeeds(
                head.sharedPrefixHash(),
                mHistory.tried(),
                mContext.loads().tokensOf(head),
                head.requestId().hashCode() + mHistory.sends());
    }

    private boolean isLimited(Candidate candidate) {
        return mContext.limits().isLimited(candidate.server().incarnation());
    }

    private boolean hasPlaceWithoutLimit(Candidate candidate) {
        return !isLimited(candidate)
                && !candidate.suspect()
                && candidate.requests() < candidate.server().slots();
    }

    /**
     * Returns the best of the candidates; empty if there are none. A call that can only go back to
     * a server goes to another one than that which it was at last.
     */
    Optional<Candidate> choose(List<Candidate> candidates) {
        List<Candidate> others =
                mHistory.hasUsedServers()
                        ? candidates.stream()
                                .filter(each -> !mHistory.wasLastAt(each.server().id()))
                                .toList()
                        : List.of();
        return mContext.chooser().choose(others.isEmpty() ? candidates : others, needs());
    }

    /**
     * Returns the best server other than the given one that can take the call at once; none with a
     * limit, whose rate is left to calls that have no other server.
     *
     * @param fast whether only a server with a free slot counts that is not slow
     */
    Optional<Candidate> alternative(String service, ServerIncarnation excluded, boolean fast) {
        CallNeeds needs = needs();
        return choose(
                candidates(service).stream()
                        .filter(each -> !each.server().incarnation().equals(excluded))
                        .filter(each -> !each.suspect() && !isLimited(each))
                        .filter(each -> !fast || BalancedChooser.isFast(each, needs))
                        .toList());
    }
}

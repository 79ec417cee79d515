package org.cornelway.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.ServerNotices;
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

    /** Returns those holders that take calls now. */
    private List<ServerRecord> servers(String service) {
        long now = mContext.clock().nowMillis();
        return holders(service).stream()
                .filter(server -> mContext.notices().acceptsCalls(server.incarnation(), now))
                .toList();
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
        return !servers(service).isEmpty();
    }

    /** Returns the servers that can take the call, with their loads. */
    List<Candidate> candidates(String service) {
        return servers(service).stream().map(mContext.loads()::candidate).toList();
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
        return mContext.chooser()
                .choose(
                        others.isEmpty() ? candidates : others,
                        mRequest.head().sharedPrefixHash(),
                        mHistory.tried());
    }

    /** Returns the best server other than the given one that can take the call at once. */
    Optional<Candidate> alternative(String service, ServerIncarnation excluded) {
        return choose(
                candidates(service).stream()
                        .filter(each -> !each.server().incarnation().equals(excluded))
                        .filter(each -> !each.suspect())
                        .toList());
    }
}

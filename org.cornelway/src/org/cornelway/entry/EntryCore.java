package org.cornelway.entry;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.config.TeamRule;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;

/** Holds an entry's open requests. Thread-safe. */
public final class EntryCore {
    private final EntryContext mServices;
    private final TeamLimiter mTeams = new TeamLimiter();
    private final Set<EntryExchange> mOpen = ConcurrentHashMap.newKeySet();
    private final int mMaxOpen;
    private volatile boolean mDraining;

    /**
     * @param maxOpen requests that may be open at once
     */
    public EntryCore(EntryContext services, int maxOpen) {
        mServices = services;
        mMaxOpen = maxOpen;
    }

    /** What the exchanges work with. */
    public EntryContext context() {
        return mServices;
    }

    /** Starts a request; its end comes through the sink. Returns what cancels it. */
    public Runnable submit(EntryRequest request, Optional<TeamRule> team, CallerSink sink) {
        mServices.metrics().counter("entry.requests").inc();
        mServices.retryBudget().recordRequest();
        if (mDraining) {
            return refuse(sink, ResultCode.AGENT_LEAVING, "this entry is leaving");
        }
        if (mOpen.size() >= mMaxOpen) {
            return refuse(sink, ResultCode.QUEUE_FULL, "at most " + mMaxOpen + " open requests");
        }
        if (team.isPresent() && !mTeams.tryAcquire(team.get())) {
            return refuse(
                    sink,
                    ResultCode.TEAM_LIMIT,
                    "team " + team.get().name() + " has " + team.get().maxWaiting() + " open");
        }
        EntryExchange[] self = new EntryExchange[1];
        EntryExchange exchange =
                new EntryExchange(
                        request,
                        sink,
                        mServices,
                        () -> {
                            mOpen.remove(self[0]);
                            team.ifPresent(mTeams::release);
                        });
        self[0] = exchange;
        mOpen.add(exchange);
        exchange.start();
        return exchange::cancel;
    }

    private Runnable refuse(CallerSink sink, ResultCode code, String message) {
        mServices.metrics().counter("entry.ended." + code).inc();
        sink.end(Outcome.refused(code, message));
        return () -> {};
    }

    /** Refuses new requests from now on. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Whether new requests are refused. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Number of open requests. */
    public int openRequestCount() {
        return mOpen.size();
    }
}

package org.cornelway.entry;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.config.TeamRule;
import org.cornelway.exchange.Ending;
import org.cornelway.result.ResultCode;

/** Holds an entry's open requests. Thread-safe. */
public final class EntryCore {
    private final EntryServices mServices;
    private final TeamLimiter mTeams = new TeamLimiter();
    private final Set<EntryExchange> mOpen = ConcurrentHashMap.newKeySet();
    private final int mMaxOpen;
    private volatile boolean mDraining;

    /**
     * @param maxOpen requests that may be open at once
     */
    public EntryCore(EntryServices services, int maxOpen) {
        mServices = services;
        mMaxOpen = maxOpen;
    }

    /** What the exchanges work with. */
    public EntryServices services() {
        return mServices;
    }

    /** Starts a request; its end comes through the sink. Returns what cancels it. */
    public Runnable submit(EntryRequest request, Optional<TeamRule> team, CallerSink sink) {
        mServices.metrics().counter("entry.requests").inc();
        mServices.retries().onRequest();
        if (mDraining) {
            return refuse(sink, ResultCode.AGENT_LEAVING, "this entry is leaving");
        }
        if (mOpen.size() >= mMaxOpen) {
            return refuse(sink, ResultCode.QUEUE_FULL, "at most " + mMaxOpen + " open requests");
        }
        if (team.isPresent() && !mTeams.tryBegin(team.get())) {
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
                            team.ifPresent(mTeams::end);
                        });
        self[0] = exchange;
        mOpen.add(exchange);
        exchange.start();
        return exchange::cancel;
    }

    private Runnable refuse(CallerSink sink, ResultCode code, String message) {
        mServices.metrics().counter("entry.ended." + code).inc();
        sink.end(Ending.refused(code, message));
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
    public int open() {
        return mOpen.size();
    }
}

package org.cornelway.entry;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.config.TeamRule;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;

/** Admits callers' requests at an entry and tracks those that are open. Thread-safe. */
public final class EntryCore {
    private final EntryContext mContext;
    private final TeamLimiter mTeamLimiter = new TeamLimiter();
    private final Set<EntryExchange> mOpenExchanges = ConcurrentHashMap.newKeySet();
    private final int mMaxOpenRequests;
    private volatile boolean mDraining;

    /**
     * @param maxOpenRequests largest number of requests that may be open at once
     */
    public EntryCore(EntryContext context, int maxOpenRequests) {
        mContext = context;
        mMaxOpenRequests = maxOpenRequests;
    }

    /** Returns the collaborators that all exchanges share. */
    public EntryContext context() {
        return mContext;
    }

    /**
     * Starts a request, or refuses it if the entry is draining or a limit is reached. The outcome
     * is delivered to the sink.
     *
     * @return an action that cancels the request
     */
    public Runnable submit(EntryRequest request, Optional<TeamRule> team, CallerSink sink) {
        mContext.metrics().counter("entry.requests").inc();
        mContext.retryBudget().recordRequest();
        if (mDraining) {
            // AGENT_LEAVING stands for any process that is leaving; the request was not run.
            return refuse(sink, ResultCode.AGENT_LEAVING, "this entry is leaving");
        }
        if (mOpenExchanges.size() >= mMaxOpenRequests) {
            return refuse(
                    sink, ResultCode.QUEUE_FULL, "at most " + mMaxOpenRequests + " open requests");
        }
        if (team.isPresent() && !mTeamLimiter.tryAcquire(team.get())) {
            return refuse(
                    sink,
                    ResultCode.TEAM_LIMIT,
                    "team " + team.get().name() + " has " + team.get().maxWaiting() + " open");
        }
        // The callback for the end of the exchange needs the exchange itself.
        EntryExchange[] exchangeHolder = new EntryExchange[1];
        EntryExchange exchange =
                new EntryExchange(
                        request,
                        sink,
                        mContext,
                        () -> {
                            mOpenExchanges.remove(exchangeHolder[0]);
                            team.ifPresent(mTeamLimiter::release);
                        });
        exchangeHolder[0] = exchange;
        mOpenExchanges.add(exchange);
        exchange.start();
        return exchange::cancel;
    }

    private Runnable refuse(CallerSink sink, ResultCode code, String message) {
        mContext.metrics().counter("entry.ended." + code).inc();
        sink.onEnd(Outcome.failed(code, message));
        return () -> {};
    }

    /** Starts draining: new requests are refused from now on, open ones continue. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns whether new requests are refused. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the number of open requests. */
    public int openRequestCount() {
        return mOpenExchanges.size();
    }
}

package org.cornelway.agent;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cornelway.exchange.AnswerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.time.Deadline;

/**
 * Handles the calls that entries make to this agent: starts requests, attaches entries to requests
 * that are already known, and withdraws requests.
 *
 * <p>Invariant: each request ends exactly once. Confined to the control thread.
 */
public final class AgentCore {
    private final ExchangeTable mTable = new ExchangeTable();
    private final WorkHandler mHandler;
    private final Scheduler mControl;
    private final BooleanSupplier mInstanceLeaving;
    private final MetricRegistry mMetrics;
    private boolean mDraining;

    /**
     * @param instanceLeaving whether the platform is about to remove the instance
     */
    public AgentCore(
            WorkHandler handler,
            Scheduler control,
            BooleanSupplier instanceLeaving,
            MetricRegistry metrics) {
        mHandler = handler;
        mControl = control;
        mInstanceLeaving = instanceLeaving;
        mMetrics = metrics;
    }

    /**
     * Starts a request, or attaches to one that is already known. The sink receives the refusal of
     * a request that cannot be accepted.
     *
     * @return the exchange, or empty if the request was refused
     */
    public Optional<AgentExchange> startOrAttach(ExchangeRequest request, AnswerSink sink) {
        Optional<AgentExchange> known = mTable.find(request.getRequestId());
        if (known.isPresent()) {
            known.get().answer().attach(sink, request.getNextSequence());
            return known;
        }
        Optional<Outcome> refusal = findRefusal(request);
        if (refusal.isPresent()) {
            mMetrics.counter("agent.refused." + refusal.get().code()).inc();
            sink.onEnd(refusal.get());
            return Optional.empty();
        }
        AgentExchange exchange = new AgentExchange(request);
        mTable.add(exchange);
        exchange.answer().attach(sink, request.getNextSequence());
        mMetrics.counter("agent.accepted").inc();
        mHandler.accept(exchange);
        return Optional.of(exchange);
    }

    private Optional<Outcome> findRefusal(ExchangeRequest request) {
        if (request.getAttach()) {
            return refusalOutcome(ResultCode.UNKNOWN_EXCHANGE, "request is not known here");
        }
        if (mTable.isWithdrawn(request.getRequestId())) {
            return refusalOutcome(ResultCode.WITHDRAWN, "request was withdrawn before it arrived");
        }
        if (isLeaving()) {
            return refusalOutcome(ResultCode.AGENT_LEAVING, "this backend server is leaving");
        }
        if (new Deadline(request.getDeadlineMillis()).isPast(now())) {
            return refusalOutcome(ResultCode.DEADLINE_PASSED, "deadline passed before arrival");
        }
        return Optional.empty();
    }

    private static Optional<Outcome> refusalOutcome(ResultCode code, String message) {
        return Optional.of(Outcome.failed(code, message));
    }

    /**
     * Withdraws a request that has not started, or cancels one that has. The id of an unknown
     * request is remembered, so that the request is refused if it arrives later.
     *
     * @param deadline deadline of the request; the id is remembered at least until then
     * @return {@code WITHDRAWN} if the request did not run and can never start here, otherwise
     *     {@code STARTED}
     */
    public WithdrawReply.Outcome withdraw(String id, Deadline deadline) {
        Optional<AgentExchange> known = mTable.find(id);
        if (known.isEmpty()) {
            mTable.recordWithdrawal(id, deadline);
            return WithdrawReply.Outcome.WITHDRAWN;
        }
        AgentExchange exchange = known.get();
        if (mHandler.withdraw(exchange)) {
            exchange.end(Outcome.failed(ResultCode.WITHDRAWN, "withdrawn while waiting"), true);
        }
        exchange.cancel();
        return exchange.isProvenNotRun()
                ? WithdrawReply.Outcome.WITHDRAWN
                : WithdrawReply.Outcome.STARTED;
    }

    /**
     * Starts draining: refuses the waiting requests and all new ones. Running requests continue.
     */
    public void beginDrain() {
        mDraining = true;
        mHandler.refuseWaiting(ResultCode.AGENT_LEAVING, "this backend server is leaving");
    }

    /**
     * Returns whether new requests are refused, because the agent is draining or its instance is
     * leaving.
     */
    public boolean isLeaving() {
        return mDraining || mInstanceLeaving.getAsBoolean();
    }

    /** Returns whether no request is waiting or running. */
    public boolean isIdle() {
        return mTable.openExchanges().isEmpty();
    }

    /**
     * Performs the periodic tasks of the handler, and removes the ended requests and the
     * withdrawals whose retention time has passed.
     */
    public void tick() {
        mHandler.tick();
        mTable.removeExpired(now());
    }

    /** Returns the handler that runs the requests. */
    public WorkHandler handler() {
        return mHandler;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelway.dispatch.Candidate;
import org.cornelway.overload.Decision;
import org.cornelway.overload.EnginePriority;
import org.cornelway.overload.OverloadState;
import org.cornelway.overload.PendingCall;
import org.cornelway.overload.SentCalls;
import org.cornelway.overload.ServiceState;
import org.cornelway.result.ResultCode;
import org.cornelway.route.Customer;
import org.cornelway.route.TokenQuota;
import org.cornelway.time.Deadline;

/**
 * Delays or refuses one call while the servers of its service are full.
 *
 * <p>Invariant: a call that may have run is neither delayed nor refused here. Confined to the
 * traffic thread; lives as long as its call.
 */
final class CallOverload {
    /** Work of a call that states no tokens and whose customer has no cost for such calls. */
    private static final double DEFAULT_TOKENS = 1_000;

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final SendHistory mHistory;
    private final WaitingCalls.Waiter mWaiter;
    private Optional<PendingCall> mCall = Optional.empty();
    private Optional<Integer> mEnginePriority = Optional.empty();
    private boolean mHadRoom;
    private boolean mHeld;
    private boolean mBegun;

    /** Whether the call counts as sent in vain, unless a further send serves it. */
    private boolean mUnserved;

    /** When the call began to wait here; 0 before. */
    private long mHeldSinceMillis;

    /**
     * @param dispatch dispatches the call again after a wait here
     * @param reject refuses the call while it waits here
     */
    CallOverload(
            TrafficContext context,
            CallerRequest request,
            SendHistory history,
            Runnable dispatch,
            Consumer<CallAdmission.Rejection> reject) {
        mContext = context;
        mRequest = request;
        mHistory = history;
        mWaiter =
                new WaitingCalls.Waiter() {
                    @Override
                    public void dispatch() {
                        dispatch.run();
                    }

                    @Override
                    public void giveWay(PendingCall successor) {
                        reject.accept(onGaveWay(successor));
                    }
                };
    }

    private OverloadControl control() {
        return mContext.overload();
    }

    private OverloadState state() {
        return control().state();
    }

    private long now() {
        return mContext.clock().nowMillis();
    }

    /** Whether the call waits here after {@link #check}. */
    boolean isHeld() {
        return mHeld;
    }

    /**
     * Decides whether the call is sent now, unless it may have run before. If it is neither
     * rejected nor held, it is sent.
     *
     * @param candidates servers that can take the call
     */
    Optional<CallAdmission.Rejection> check(
            String service, CallTerms terms, List<Candidate> candidates, Deadline callDeadline) {
        mHeld = false;
        mEnginePriority = Optional.empty();
        if (candidates.isEmpty() || mHistory.possibleRunCount() > 0) {
            return Optional.empty();
        }
        PendingCall call = pendingCall(service, terms, callDeadline);
        control().waiting().remove(call);
        TrafficView view = mContext.view().get();
        ServiceState servers =
                state().serviceState(
                                call,
                                candidates,
                                mContext.loads().streamMillis(),
                                EnginePriority.lowest(call.priority(), control().priorities(view)),
                                view.entryCount(),
                                now());
        mHadRoom = servers.hasRoom();
        return apply(
                call,
                control()
                        .policy(view)
                        .decide(call, servers, control().waiting().of(service), now()));
    }

    private Optional<CallAdmission.Rejection> apply(PendingCall call, Decision decision) {
        if (decision instanceof Decision.Send send) {
            mEnginePriority = Optional.of(send.enginePriority());
            recordHeld();
            return Optional.empty();
        }
        if (decision instanceof Decision.Wait wait) {
            mHeld = true;
            mHeldSinceMillis = mHeldSinceMillis == 0 ? now() : mHeldSinceMillis;
            mCall = Optional.of(call.heldUntil(wait.until()));
            wait.givesWay().ifPresent(other -> control().waiting().replace(other, call));
            control().waiting().add(mCall.get(), mWaiter);
            return Optional.empty();
        }
        return Optional.of(onRefused(call, (Decision.Refuse) decision));
    }

    /** Returns the call as the policy sees it; counts it the first time. */
    private PendingCall pendingCall(String service, CallTerms terms, Deadline callDeadline) {
        if (mCall.isPresent() && mCall.get().service().equals(service)) {
            return mCall.get();
        }
        boolean isForModel = mRequest.head().target().isPresent();
        Deadline abandonment =
                Deadline.after(
                        mRequest.arrivedMillis(), terms.route().streamSilenceTimeoutMillis());
        boolean isAbandonedEarlier = isForModel && abandonment.compareTo(callDeadline) < 0;
        double tokens = tokens(terms);
        PendingCall arriving =
                new PendingCall(
                        mRequest.head().requestId(),
                        service,
                        terms.route().name(),
                        terms.priority(),
                        terms.customer().map(CallOverload::customer),
                        tokens,
                        isForModel,
                        mRequest.arrivedMillis(),
                        terms.objective(),
                        isAbandonedEarlier ? abandonment : callDeadline,
                        Optional.empty());
        mCall = Optional.of(state().recordArrival(arriving, now()));
        return mCall.get();
    }

    private static double tokens(CallTerms terms) {
        return terms.tokens()
                .map(count -> (double) count.total())
                .or(() -> terms.customer().map(each -> (double) each.quota().plainCost()))
                .filter(tokens -> tokens > 0)
                .orElse(DEFAULT_TOKENS);
    }

    /** The quota of a customer states how much it is expected to use in proportion to others. */
    private static PendingCall.Customer customer(Customer customer) {
        TokenQuota quota = customer.quota();
        double perCall = quota.countsTokens() ? 1 : DEFAULT_TOKENS;
        double weight = quota.isLimited() ? quota.perSecond() * perCall : DEFAULT_TOKENS;
        return new PendingCall.Customer(customer.name(), weight, false);
    }

    /** Returns the priority of the call at the engine that it is sent to. */
    int enginePriority(CallTerms terms) {
        return mEnginePriority.orElseGet(() -> EnginePriority.of(terms.priority()));
    }

    /** Records that the call is sent to a server; empty if it was not decided about here. */
    Optional<SentCalls.SentCall> recordSent() {
        return mCall.map(
                call ->
                        state().recordSent(
                                        call,
                                        mEnginePriority.orElse(EnginePriority.of(call.priority())),
                                        mHadRoom,
                                        now()));
    }

    /** Records that a server has begun to answer a send of the call. */
    void onBegun(SentCalls.SentCall sent) {
        state().recordBegun(sent, now());
        mBegun = true;
        setUnserved(false);
    }

    /** Records that a send of the call has ended. */
    void onEnded(SentCalls.SentCall sent) {
        boolean inVain = state().recordEnded(sent, now());
        setUnserved(inVain && !mBegun || mUnserved);
    }

    private void setUnserved(boolean unserved) {
        if (unserved != mUnserved) {
            mUnserved = unserved;
            state().recordUnserved(mCall.orElseThrow(), unserved, now());
        }
    }

    private void recordHeld() {
        if (mHeldSinceMillis > 0) {
            mContext.metrics().counter("overload.held").inc();
            mContext.metrics().histogram("overload.held_millis").update(now() - mHeldSinceMillis);
        }
    }

    private CallAdmission.Rejection onRefused(PendingCall call, Decision.Refuse refusal) {
        state().recordRefused(call, now());
        long retryMillis = Math.max(CallAdmission.RETRY_AFTER_MILLIS, refusal.retryAfterMillis());
        mContext.metrics().counter("overload.refused").inc();
        log("overload.refused", call, refusal.reason(), refusal.waitMillis(), retryMillis);
        return new CallAdmission.Rejection(ResultCode.QUEUE_FULL, refusal.reason(), retryMillis);
    }

    private CallAdmission.Rejection onGaveWay(PendingCall successor) {
        mHeld = false;
        PendingCall call = mCall.orElseThrow();
        state().recordRefused(call, now());
        mContext.metrics().counter("overload.gave_way").inc();
        log("overload.gave_way", call, "for " + successor.id(), 0, 0);
        return new CallAdmission.Rejection(
                ResultCode.QUEUE_FULL,
                "gave way to another call",
                CallAdmission.RETRY_AFTER_MILLIS);
    }

    private void log(
            String event, PendingCall call, String reason, long waitMillis, long retryMillis) {
        mContext.log()
                .write(
                        event,
                        "id",
                        call.id(),
                        "service",
                        call.service(),
                        "route",
                        call.kind(),
                        "customer",
                        call.customer().map(PendingCall.Customer::name).orElse("-"),
                        "beyond_share",
                        call.isBeyondShare(),
                        "priority",
                        call.priority(),
                        "tokens",
                        call.tokens(),
                        "age_ms",
                        now() - call.arrivedMillis(),
                        "objective_left_ms",
                        call.objective().remainingMillis(now()),
                        "end_left_ms",
                        call.end().remainingMillis(now()),
                        "wait_ms",
                        waitMillis,
                        "retry_ms",
                        retryMillis,
                        "reason",
                        reason);
    }
}

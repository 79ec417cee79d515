package org.cornelway.overload;

import java.util.List;
import java.util.Map;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.EngineQueuePolicy;

/**
 * What an entry has counted of its calls for the decisions under overload. Rebuilt from the calls
 * after a restart. Confined to the thread of its owner.
 */
public final class OverloadState {
    private final SentCalls mSent = new SentCalls();
    private final KindShares mKinds = new KindShares();
    private final CustomerCounts mCustomers = new CustomerCounts();

    /**
     * Counts a call that has arrived; called once for each call.
     *
     * @return the call, marked if it is beyond its customer's share
     */
    public PendingCall recordArrival(PendingCall call, long nowMillis) {
        mSent.service(call.service()).recordArrival(call, nowMillis);
        PendingCall arrived =
                call.customer()
                        .filter(
                                customer ->
                                        mCustomers.recordAsked(customer, call.tokens(), nowMillis))
                        .map(customer -> call.beyondShare())
                        .orElse(call);
        mKinds.recordAsked(arrived, nowMillis);
        return arrived;
    }

    /** Counts the refusal of a call. */
    public void recordRefused(PendingCall call, long nowMillis) {
        mKinds.recordUnserved(call, 1, nowMillis);
        mSent.service(call.service()).recordRefused(nowMillis);
        call.customer()
                .ifPresent(
                        customer ->
                                mCustomers.recordRefused(
                                        customer.name(), call.tokens(), nowMillis));
    }

    /** Records that a call is sent. */
    public SentCalls.SentCall recordSent(
            PendingCall call, int enginePriority, boolean hadRoom, long nowMillis) {
        return mSent.send(call, enginePriority, hadRoom, nowMillis);
    }

    /** Records that the server of a sent call has begun to answer. */
    public void recordBegun(SentCalls.SentCall sent, long nowMillis) {
        if (sent.begin(nowMillis)) {
            sent.call()
                    .customer()
                    .ifPresent(
                            customer ->
                                    mCustomers.recordServed(
                                            customer.name(), sent.call().tokens(), nowMillis));
        }
    }

    /**
     * Records that a send has ended, begun or not.
     *
     * @return whether it ended after its objective without having begun
     */
    public boolean recordEnded(SentCalls.SentCall sent, long nowMillis) {
        return sent.end(nowMillis);
    }

    /** Counts a call that was sent in vain, or no longer counts it since it is served after all. */
    public void recordUnserved(PendingCall call, boolean isUnserved, long nowMillis) {
        mKinds.recordUnserved(call, isUnserved ? 1 : -1, nowMillis);
    }

    /** Returns the work of a typical call of a service, in tokens. */
    public double typicalTokens(String service) {
        return mSent.service(service).tokens();
    }

    /** Replaces the customers' shares by those that the controller has computed. */
    public void setCustomerFractions(Map<String, Double> fractions, long nowMillis) {
        mCustomers.setFractions(fractions, nowMillis);
    }

    /** Returns the recent use of each customer at this entry. */
    public Map<String, CustomerUse> customerUses(long nowMillis) {
        mKinds.expire(nowMillis);
        return mCustomers.uses(nowMillis);
    }

    /**
     * Returns the state of the servers that can take a call.
     *
     * @param candidates these servers; not empty
     * @param streamMillis mean time that a stream takes
     * @param lowestEnginePriority least urgent engine priority that the call may have
     * @param entryCount number of entries
     */
    public ServiceState serviceState(
            PendingCall call,
            List<Candidate> candidates,
            double streamMillis,
            int lowestEnginePriority,
            int entryCount,
            long nowMillis) {
        SentCalls.Service service = mSent.service(call.service());
        double callMillis = call.isForModel() ? streamMillis : service.callMillis();
        int slots = candidates.stream().mapToInt(each -> each.server().slots()).sum();
        double callsPerMilli = slots / Math.max(1, callMillis) / Math.max(1, entryCount);
        return new ServiceState(
                candidates.stream().anyMatch(OverloadState::hasRoom),
                EngineQueuePolicy.shortestWaitMillis(candidates, callMillis),
                service.aheadShares(nowMillis),
                service.waitedMillis(nowMillis),
                service.firstMillis(),
                service.objectiveMillis(call.priority()),
                service.tokens(),
                lowestEnginePriority,
                mKinds.standing(call, nowMillis),
                (long) (service.refused(nowMillis) / Math.max(1e-6, callsPerMilli)),
                (int) Math.max(1, callsPerMilli * LeastLoss.MAX_HELD_MILLIS));
    }

    private static boolean hasRoom(Candidate candidate) {
        return !candidate.suspect()
                && Math.max(candidate.inFlight(), candidate.reportedRequests())
                        < candidate.server().slots();
    }
}

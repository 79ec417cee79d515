package org.cornelway.overload;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.time.Deadline;

/**
 * Counts the recent use of each customer at this entry, and tells which calls are beyond a
 * customer's share. The shares are those over all entries that the controller has sent, or follow
 * from the counts of this entry if there are none. Confined to the thread of its owner.
 */
final class CustomerCounts {
    /**
     * Short enough to notice a customer's burst of some seconds. With shorter times, the chance
     * arrivals of small customers look like bursts.
     */
    private static final double CONSTANT_MILLIS = 3_000;

    /** Time for which the controller's shares are used; the interval of several reports. */
    private static final long SHARES_MILLIS = 1_000;

    /** Interval at which shares are computed from the counts of this entry. */
    private static final long OWN_SHARES_MILLIS = 100;

    private final Map<String, Counts> mCounts = new HashMap<>();
    private Map<String, Double> mFractions = Map.of();
    private Deadline mFractionsUntil = new Deadline(0);

    /** The recent use of one customer, in tokens. */
    private static final class Counts {
        private final DecayingSum mAsked = new DecayingSum(CONSTANT_MILLIS);
        private final DecayingSum mRefused = new DecayingSum(CONSTANT_MILLIS);
        private final DecayingSum mServed = new DecayingSum(CONSTANT_MILLIS);
        private double mWeight;
    }

    /**
     * Counts a call that is asked for.
     *
     * @return whether it is beyond the share of its customer
     */
    boolean recordAsked(PendingCall.Customer customer, double tokens, long nowMillis) {
        Counts counts = mCounts.computeIfAbsent(customer.name(), missing -> new Counts());
        double sentBefore = counts.mAsked.get(nowMillis) - counts.mRefused.get(nowMillis);
        counts.mAsked.add(tokens, nowMillis);
        counts.mWeight = customer.weight();
        Double fraction = fractions(nowMillis).get(customer.name());
        return fraction != null && sentBefore > fraction * counts.mAsked.get(nowMillis);
    }

    private Map<String, Double> fractions(long nowMillis) {
        if (mFractionsUntil.isPast(nowMillis)) {
            mFractions = CustomerShares.fractions(uses(nowMillis));
            mFractionsUntil = Deadline.after(nowMillis, OWN_SHARES_MILLIS);
        }
        return mFractions;
    }

    void recordServed(String customer, double tokens, long nowMillis) {
        mCounts.computeIfAbsent(customer, missing -> new Counts()).mServed.add(tokens, nowMillis);
    }

    void recordRefused(String customer, double tokens, long nowMillis) {
        mCounts.computeIfAbsent(customer, missing -> new Counts()).mRefused.add(tokens, nowMillis);
    }

    /** Replaces the shares by those that the controller has computed over all entries. */
    void setFractions(Map<String, Double> fractions, long nowMillis) {
        mFractions = Map.copyOf(fractions);
        mFractionsUntil = Deadline.after(nowMillis, SHARES_MILLIS);
    }

    /** Returns the recent use of each customer. */
    Map<String, CustomerUse> uses(long nowMillis) {
        mCounts.values().removeIf(each -> each.mAsked.get(nowMillis) < 1);
        Map<String, CustomerUse> uses = new HashMap<>();
        mCounts.forEach(
                (name, counts) ->
                        uses.put(
                                name,
                                new CustomerUse(
                                        counts.mAsked.perSecond(nowMillis),
                                        counts.mServed.perSecond(nowMillis),
                                        counts.mWeight)));
        return uses;
    }
}

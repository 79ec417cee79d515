package org.cornelway.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.route.Customer;
import org.cornelway.time.Deadline;

/**
 * The tokens of customers' quotas that one entry holds, granted by a ledger.
 *
 * <p>Invariants: a call is admitted only with tokens that are valid at that time, and counts as
 * spent when it is sent; tokens of a call that is not sent within {@link QuotaTimes#HOLD_MILLIS}
 * can be used again, and it needs others. Grants are valid for {@link QuotaTimes#GRANT_MILLIS} from
 * the report that they answer; a reply renews them. Pure; confined to one thread.
 */
public final class QuotaGrants implements QuotaPolicy {
    /** Time after which calls are weighted by 1/e in the recent demand. */
    private static final double DEMAND_MILLIS = 3_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Weight of a call in the usual cost of a call. */
    private static final double COST_WEIGHT = 0.1;

    /** Time for which calls are refused without asking, after a reply that granted too little. */
    private static final long DENIAL_MILLIS = 250;

    private final String mEntry;
    private final long mBorn;
    private final FallbackQuota mFallback;
    private final Map<String, Balance> mBalances = new HashMap<>();
    private final List<QuotaHold> mHolds = new ArrayList<>();
    private Deadline mValidUntil = new Deadline(0);
    private Deadline mFallbackFrom;
    private long mLedger;
    private long mAppliedMillis = Long.MIN_VALUE;
    private boolean mAnswered;
    private volatile double mLastUnspent;

    /** What this entry has of one customer's quota; amounts in tokens since its start. */
    private static final class Balance {
        private double mCeiling;
        private double mSpent;
        private double mReturned;
        private double mHeld;
        private double mKeep;
        private double mPerSecond;
        private double mCallCost;
        private long mDemandMillis;
        private Deadline mDeniedUntil = new Deadline(0);
        private Deadline mAvailableFrom = new Deadline(0);
        private double mDeniedCost;

        /** Cost of the smallest call that waited at the last report. */
        private double mAskedCost;

        private double unspent() {
            return Math.max(0, mCeiling - mSpent - mHeld);
        }

        /** Refuses calls for a while; the time is that until a call that waited can be served. */
        private void deny(long waitMillis, long nowMillis) {
            mDeniedUntil = Deadline.after(nowMillis, Math.min(DENIAL_MILLIS, waitMillis));
            mAvailableFrom = Deadline.after(nowMillis, waitMillis);
            mDeniedCost = mAskedCost;
        }

        private void decayDemand(long nowMillis) {
            long millis = Math.max(0, nowMillis - mDemandMillis);
            mPerSecond *= Math.exp(-millis / DEMAND_MILLIS);
            mDemandMillis = nowMillis;
        }

        private void recordDemand(double cost, long nowMillis) {
            decayDemand(nowMillis);
            mPerSecond += cost * MILLIS_PER_SECOND / DEMAND_MILLIS;
            mCallCost = mCallCost == 0 ? cost : mCallCost + COST_WEIGHT * (cost - mCallCost);
        }
    }

    /**
     * @param entry id of this entry
     * @param born start of this process, which distinguishes it from earlier ones with the same id
     * @param fallback decides while no ledger replies
     */
    public QuotaGrants(String entry, long born, FallbackQuota fallback, long nowMillis) {
        mEntry = entry;
        mBorn = born;
        mFallback = fallback;
        mFallbackFrom = Deadline.after(nowMillis, QuotaTimes.FALLBACK_AFTER_MILLIS);
    }

    private Balance balance(String customer) {
        return mBalances.computeIfAbsent(customer, key -> new Balance());
    }

    /** Discards grants that have lapsed. */
    private void lapse(long nowMillis) {
        if (mValidUntil.isPast(nowMillis)) {
            mBalances.values().forEach(each -> each.mSpent += each.unspent());
        }
    }

    /** Whether no ledger has replied for so long that this entry uses its own share. */
    public boolean isFallback(long nowMillis) {
        return mFallbackFrom.isPast(nowMillis);
    }

    /** Returns the time since the report that the last reply answered; 0 if there was none. */
    public long grantAgeMillis(long nowMillis) {
        return mAnswered ? nowMillis - mAppliedMillis : 0;
    }

    @Override
    public Decision take(Customer customer, double cost, boolean isNew, long nowMillis) {
        lapse(nowMillis);
        Balance balance = balance(customer.name());
        if (isNew) {
            balance.recordDemand(cost, nowMillis);
        }
        if (balance.unspent() >= cost) {
            balance.mHeld += cost;
            return new Admitted(hold(customer.name(), cost, true, nowMillis));
        }
        if (isFallback(nowMillis)) {
            long waitMillis = mFallback.take(customer, cost, mFallbackFrom, nowMillis);
            return waitMillis == 0
                    ? new Admitted(hold(customer.name(), cost, false, nowMillis))
                    : new Refused(waitMillis);
        }
        boolean isDenied = !balance.mDeniedUntil.isPast(nowMillis) && cost >= balance.mDeniedCost;
        long waitMillis = balance.mAvailableFrom.remainingMillis(nowMillis);
        return isDenied && waitMillis > QuotaTimes.WAIT_MILLIS
                ? new Refused(waitMillis)
                : new Waiting();
    }

    private QuotaHold hold(String customer, double cost, boolean granted, long nowMillis) {
        Deadline until = Deadline.after(nowMillis, QuotaTimes.HOLD_MILLIS);
        QuotaHold hold = new QuotaHold(customer, cost, granted, until);
        mHolds.add(hold);
        return hold;
    }

    @Override
    public boolean spend(QuotaHold hold, long nowMillis) {
        if (hold.isPast(nowMillis)) {
            refund(hold, nowMillis);
            return false;
        }
        if (!hold.end()) {
            return false;
        }
        mHolds.remove(hold);
        if (hold.isGranted()) {
            Balance balance = balance(hold.customer());
            balance.mHeld -= hold.cost();
            balance.mSpent += hold.cost();
        }
        return true;
    }

    @Override
    public void refund(QuotaHold hold, long nowMillis) {
        if (!hold.end()) {
            return;
        }
        mHolds.remove(hold);
        if (hold.isGranted()) {
            balance(hold.customer()).mHeld -= hold.cost();
        } else {
            mFallback.refund(hold.customer(), hold.cost());
        }
        lapse(nowMillis);
    }

    /**
     * Returns the report to the ledger. Unspent tokens beyond what this entry may keep are returned
     * with it.
     *
     * @param costs the costs of the calls that wait for tokens, by customer
     */
    public QuotaReport takeReport(Map<String, List<Double>> costs, long nowMillis) {
        List.copyOf(mHolds).stream()
                .filter(hold -> hold.isPast(nowMillis))
                .forEach(hold -> refund(hold, nowMillis));
        lapse(nowMillis);
        List<QuotaReport.Use> uses = new ArrayList<>();
        mBalances.forEach(
                (customer, balance) ->
                        uses.add(
                                use(
                                        customer,
                                        balance,
                                        costs.getOrDefault(customer, List.of()),
                                        nowMillis)));
        mLastUnspent = mBalances.values().stream().mapToDouble(Balance::unspent).sum();
        return new QuotaReport(
                mEntry, mBorn, !isFallback(nowMillis), !mAnswered, mLedger, uses, nowMillis);
    }

    private static QuotaReport.Use use(
            String customer, Balance balance, List<Double> costs, long nowMillis) {
        balance.decayDemand(nowMillis);
        double wantedTotal = costs.stream().mapToDouble(Double::doubleValue).sum();
        double wantedLeast = costs.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        balance.mAskedCost = wantedLeast;
        double unspent = balance.unspent();
        double excess = Math.max(0, unspent - Math.max(balance.mKeep, wantedTotal));
        balance.mSpent += excess;
        balance.mReturned += excess;
        return new QuotaReport.Use(
                customer,
                balance.mCeiling,
                balance.mSpent,
                balance.mReturned,
                Math.max(0, wantedTotal - unspent),
                Math.max(0, wantedLeast - unspent),
                balance.mPerSecond,
                balance.mCallCost);
    }

    /**
     * Applies a reply, unless a later report was answered before.
     *
     * @param sentMillis when the report that it answers was taken
     */
    public void applyReply(QuotaReply reply, long sentMillis, long nowMillis) {
        if (sentMillis < mAppliedMillis) {
            return;
        }
        lapse(nowMillis);
        boolean isOtherLedger = mLedger != reply.ledger();
        mAppliedMillis = sentMillis;
        mAnswered = true;
        mLedger = reply.ledger();
        mValidUntil = Deadline.after(sentMillis, QuotaTimes.GRANT_MILLIS);
        mFallbackFrom = Deadline.after(sentMillis, QuotaTimes.FALLBACK_AFTER_MILLIS);
        mFallback.end();
        for (QuotaReply.Grant grant : reply.grants()) {
            Balance balance = balance(grant.customer());
            double ceiling =
                    isOtherLedger ? grant.ceiling() : Math.max(grant.ceiling(), balance.mCeiling);
            balance.mCeiling = Math.max(ceiling, balance.mSpent);
            balance.mKeep = grant.keep();
            balance.deny(grant.waitMillis(), nowMillis);
        }
    }

    /** Returns the unspent tokens of one customer. */
    public double unspent(String customer, long nowMillis) {
        lapse(nowMillis);
        return balance(customer).unspent();
    }

    /** Returns the unspent tokens of all customers at the last report. Thread-safe. */
    public double lastUnspent() {
        return mLastUnspent;
    }
}

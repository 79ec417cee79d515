package org.cornelway.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cornelway.route.Customer;
import org.cornelway.route.TokenQuota;
import org.cornelway.time.Deadline;

/**
 * Grants the tokens of customers' quotas to entries, from one bucket for each customer.
 *
 * <p>Meant for small customers whose few calls may arrive at any entry, beside large ones with
 * calls at all entries: a fixed share would be too small for the entry that has the calls. What an
 * entry's waiting calls lack is granted first; then balances are topped up for {@link
 * #TARGET_SECONDS} of recent demand while the bucket is well filled.
 *
 * <p>Invariants: a bucket fills at the rate times the share of the entries that leave theirs to
 * this ledger, and a bucket and the unspent grants of these entries together hold at most the depth
 * times that share, so that several ledgers together keep to the quota. Unspent grants that were
 * made by another ledger count here, and grants of an entry that is not heard any more are lost. In
 * memory only; begins with empty buckets. Pure; not thread-safe.
 */
public final class QuotaLedger {
    /** Time of recent demand for which an entry holds tokens: three reports. */
    static final double TARGET_SECONDS = 0.75;

    /** Largest part of a bucket that all entries together hold for their recent demand. */
    private static final double HELD_SHARE = 0.5;

    /** Largest part of a bucket from which each entry gets the tokens of one call beside that. */
    private static final double MINIMUM_SHARE = 0.6;

    /** Part of a bucket that is left for calls that wait, while balances are topped up. */
    private static final double UNGRANTED_SHARE = 0.2;

    /** An entry returns what it holds beyond this many times its target. */
    private static final double KEEP_FACTOR = 1.5;

    private final long mId;
    private final QuotaBounds mBounds;
    private Map<String, TokenQuota> mQuotas = Map.of();
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private final Map<String, Reporter> mReporters = new HashMap<>();
    private double mShare;

    /** An entry that reports. */
    private static final class Reporter {
        private final long mBorn;
        private Deadline mSharingUntil = new Deadline(0);
        private Deadline mUntil = new Deadline(0);
        private final Map<String, Account> mAccounts = new HashMap<>();

        private Reporter(long born) {
            mBorn = born;
        }

        private Optional<Account> account(String customer) {
            return Optional.ofNullable(mAccounts.get(customer));
        }

        private Account createAccount(String customer) {
            return mAccounts.computeIfAbsent(customer, key -> new Account());
        }
    }

    /** What one entry has of one customer's quota; amounts since the start of the entry. */
    private static final class Account {
        private double mCeiling;
        private double mSpent;
        private double mReturned;
        private double mPerSecond;
        private double mCallCost;

        /** Tokens that calls wait for and that were not granted. */
        private double mUnmet;

        private double balance() {
            return mCeiling - mSpent;
        }
    }

    /**
     * @param id identifies this ledger among those of all processes
     */
    public QuotaLedger(long id, QuotaBounds bounds) {
        mId = id;
        mBounds = bounds;
    }

    /** Applies the customers of a configuration. */
    public void configure(Collection<Customer> customers) {
        Map<String, TokenQuota> quotas = new HashMap<>();
        customers.stream()
                .filter(each -> each.quota().isLimited())
                .forEach(each -> quotas.put(each.name(), each.quota()));
        mQuotas = quotas;
        mBuckets.keySet().retainAll(quotas.keySet());
        mReporters.values().forEach(each -> each.mAccounts.keySet().retainAll(quotas.keySet()));
    }

    /** Returns the share of the rates that this ledger hands out, 0 to 1. */
    public double share() {
        return mShare;
    }

    /** Returns the tokens that are not granted to any entry. */
    public double level(String customer) {
        return mBuckets.containsKey(customer) ? mBuckets.get(customer).level() : 0;
    }

    /**
     * Records a report and returns the grants of its sender.
     *
     * @param entries number of entries among which the quotas are divided
     */
    public QuotaReply handle(QuotaReport report, int entries, long nowMillis) {
        mReporters.values().removeIf(each -> each.mUntil.isPast(nowMillis));
        Optional<Reporter> known =
                Optional.ofNullable(mReporters.get(report.entry()))
                        .filter(each -> each.mBorn == report.born());
        Reporter reporter = known.orElseGet(() -> new Reporter(report.born()));
        mReporters.put(report.entry(), reporter);
        reporter.mUntil = Deadline.after(nowMillis, QuotaTimes.ACCOUNT_MILLIS);
        reporter.mSharingUntil =
                Deadline.after(nowMillis, report.sharing() ? QuotaTimes.SHARE_MILLIS : 0);
        int count = Math.max(entries, mReporters.size());
        for (QuotaReport.Use use : report.uses()) {
            if (mQuotas.containsKey(use.customer())) {
                record(reporter, use, known.isEmpty(), report.ledger(), count);
            }
        }
        fillAll(count, nowMillis);
        if (known.isEmpty() && report.first()) {
            mQuotas.forEach((name, quota) -> addStartCredit(name, quota, count));
        }
        List<QuotaReply.Grant> grants = new ArrayList<>();
        mQuotas.forEach((name, quota) -> grants.add(grant(reporter, name, quota, report)));
        return new QuotaReply(mId, count, grants);
    }

    private void record(
            Reporter reporter, QuotaReport.Use use, boolean isNew, long ledger, int count) {
        Account account = reporter.createAccount(use.customer());
        if (isNew || account.mCeiling == 0) {
            TokenQuota quota = mQuotas.get(use.customer());
            double adopted =
                    ledger == mId
                            ? 0
                            : Math.min(use.ceiling() - use.spent(), mBounds.depth(quota) / count);
            account.mCeiling = Math.max(account.mCeiling, use.spent() + Math.max(0, adopted));
            account.mReturned = use.returned();
        }
        double returned = Math.max(0, use.returned() - account.mReturned);
        if (returned > 0 && mBuckets.containsKey(use.customer())) {
            mBuckets.get(use.customer()).put(returned);
        }
        account.mReturned += returned;
        account.mSpent = Math.max(account.mSpent, use.spent());
        account.mCeiling = Math.max(account.mCeiling, account.mSpent);
        account.mPerSecond = use.perSecond();
        account.mCallCost = use.callCost();
    }

    /** Fills all buckets; of the shares before and now the smaller one counts. */
    private void fillAll(int count, long nowMillis) {
        long sharing =
                mReporters.values().stream()
                        .filter(each -> !each.mSharingUntil.isPast(nowMillis))
                        .count();
        double share = (double) sharing / count;
        double smaller = Math.min(share, mShare);
        mShare = share;
        mQuotas.forEach(
                (name, quota) -> {
                    double room = mBounds.depth(quota) * share - granted(name);
                    mBuckets.computeIfAbsent(name, key -> new TokenBucket(nowMillis))
                            .fill(quota.perSecond() * smaller, room, nowMillis);
                });
    }

    private double granted(String customer) {
        return accounts(customer).mapToDouble(Account::balance).sum();
    }

    private void addStartCredit(String customer, TokenQuota quota, int count) {
        mBuckets.get(customer).put(mBounds.startCredit(quota) / count);
    }

    private QuotaReply.Grant grant(
            Reporter reporter, String customer, TokenQuota quota, QuotaReport report) {
        Account account = reporter.createAccount(customer);
        TokenBucket bucket = mBuckets.get(customer);
        Optional<QuotaReport.Use> use =
                report.uses().stream().filter(e -> e.customer().equals(customer)).findFirst();
        double wanted = use.map(QuotaReport.Use::wanted).orElse(0.0);
        double least = use.map(QuotaReport.Use::least).orElse(0.0);
        double needed = bucket.level() >= least ? Math.min(wanted, bucket.level()) : 0;
        double target = target(customer, quota, account);
        double spare = bucket.level() - needed - UNGRANTED_SHARE * mBounds.depth(quota) * mShare;
        double lacking = target - account.balance();
        double tokens = needed + Math.max(0, Math.min(lacking, spare));
        bucket.take(tokens);
        account.mCeiling += tokens;
        account.mUnmet = wanted - needed;
        long waitMillis = account.mUnmet > 0 ? waitMillis(customer, quota, account, least) : 0;
        return new QuotaReply.Grant(customer, account.mCeiling, target * KEEP_FACTOR, waitMillis);
    }

    /** Returns the time until the calls that wait elsewhere and one call here have their tokens. */
    private long waitMillis(String customer, TokenQuota quota, Account account, double least) {
        double others =
                accounts(customer).filter(each -> each != account).mapToDouble(a -> a.mUnmet).sum();
        double tokens = Math.min(least, account.mUnmet) + others;
        double perSecond = quota.perSecond() * mShare;
        return Math.max(1, mBuckets.get(customer).waitMillis(tokens, perSecond));
    }

    private Stream<Account> accounts(String customer) {
        return mReporters.values().stream().flatMap(each -> each.account(customer).stream());
    }

    /**
     * Returns the tokens that an entry should hold: for its recent demand, and for one call if the
     * bucket is deep enough for a call at each entry.
     */
    private double target(String customer, TokenQuota quota, Account account) {
        double perSecond = accounts(customer).mapToDouble(each -> each.mPerSecond).sum();
        double callCost = accounts(customer).mapToDouble(each -> each.mCallCost).max().orElse(0);
        double depth = mBounds.depth(quota) * mShare;
        double held = perSecond > 0 ? HELD_SHARE * depth * account.mPerSecond / perSecond : 0;
        double forDemand = account.mPerSecond * TARGET_SECONDS;
        if (callCost * mReporters.size() <= MINIMUM_SHARE * depth) {
            return callCost + Math.min(forDemand, held);
        }
        double target = Math.min(callCost + forDemand, held);
        return target >= callCost ? target : 0;
    }
}

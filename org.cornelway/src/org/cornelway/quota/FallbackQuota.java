package org.cornelway.quota;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.route.Customer;
import org.cornelway.time.Deadline;

/**
 * The quotas of one entry while no ledger replies: the rate and the depth of each quota divided by
 * the number of entries, from an empty bucket.
 *
 * <p>The ledger that counted this entry's share last does so no more when a fallback begins, and
 * all entries together have no more than the quota. Until this entry knows the members, it has only
 * its part of the credit that entries get once after their start, which no other share depends on.
 * Confined to one thread.
 */
public final class FallbackQuota {
    /**
     * Longest time without a ledger for which this entry uses its share. Others may have stopped to
     * count with it after {@link EntryCount#RETENTION_MILLIS}.
     */
    static final long MAX_MILLIS = EntryCount.RETENTION_MILLIS - 10_000;

    private final QuotaBounds mBounds;
    private final EntryCount mEntries;
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private boolean mHasStartCredit = true;

    /**
     * @param entries number of entries among which the quotas are divided
     */
    public FallbackQuota(QuotaBounds bounds, EntryCount entries) {
        mBounds = bounds;
        mEntries = entries;
    }

    /**
     * Takes tokens for a call.
     *
     * @param from when this entry began to use its share
     * @return 0 if there were enough, else the time until there are, in milliseconds
     */
    long take(Customer customer, double cost, Deadline from, long nowMillis) {
        int entries = mEntries.get(nowMillis);
        boolean hasShare =
                mEntries.isKnown(nowMillis) && nowMillis - from.epochMillis() < MAX_MILLIS;
        double perSecond = hasShare ? customer.quota().perSecond() / entries : 0;
        double credit = mHasStartCredit ? mBounds.startCredit(customer.quota()) / entries : 0;
        TokenBucket bucket =
                mBuckets.computeIfAbsent(
                        customer.name(),
                        key -> {
                            TokenBucket created = new TokenBucket(from.epochMillis());
                            created.put(credit);
                            return created;
                        });
        bucket.fill(perSecond, mBounds.depth(customer.quota()) / entries + credit, nowMillis);
        return bucket.take(cost) ? 0 : Math.max(1, bucket.waitMillis(cost, perSecond));
    }

    /** Takes back the tokens of a call that was not sent. */
    void refund(String customer, double cost) {
        TokenBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.put(cost);
        }
    }

    /** Ends the use of this entry's share, since a ledger has replied. */
    void end() {
        mBuckets.clear();
        mHasStartCredit = false;
    }
}
